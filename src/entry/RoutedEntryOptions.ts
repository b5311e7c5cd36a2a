import type AllowanceBounds from '../allowances/AllowanceBounds';

/** Settings of an entry VM that routes by a manifest. */
interface RoutedEntryOptions {
  /** `ip:port` for links between entry VMs; identifies the VM. */
  address: string;
  /** `host:port` at which callers reach this VM. */
  callerAddress: string;
  dataCentre: string;
  /** Bandwidth of this VM's network link in Mbit/s; undefined if unknown. */
  linkMbps?: number;
  /**
   * Addresses (`ip:port`, as in `address`) of some other entry VMs, to find a running one while the
   * key-value service can't be read.
   */
  seeds: string[];
  leaseSeconds: number;
  /**
   * Minimum time between the takeover of an engine and the new owner's first command to it, in
   * milliseconds, so that commands of two owners do not mix.
   */
  takeoverDelayMs: number;
  /** Returns the limits on retries; they may change while the VM runs. */
  getRetryLimits(): { ratio: number; windowMs: number; reserve: number };
  /**
   * Returns the time without confirmation of the manifest after which requests that need a key are
   * refused, in milliseconds; without it they are always served.
   */
  getMaxUnconfirmedMs?(): number;
  /** Returns the bounds on what is sent for organisations; the default is `DEFAULT_BOUNDS`. */
  getAllowanceBounds?: () => AllowanceBounds;
}

export default RoutedEntryOptions;
