/** Settings of an entry VM that routes by a manifest. */
interface RoutedEntryOptions {
  /** `ip:port` of the links between entry VMs; the VM's identity. */
  address: string;
  callerAddress: string;
  dataCentre: string;
  /** Addresses, like this VM's own, of some VMs that may be up when the store can't be read. */
  seeds: string[];
  leaseSeconds: number;
  /** Time within which orders of two owners must not mix. */
  orderGapMs: number;
  /** Bounds on requests sent once more; they may change while the VM runs. */
  getRetryLimits(): { ratio: number; windowMs: number; reserve: number };
}

export default RoutedEntryOptions;
