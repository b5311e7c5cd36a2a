/** The state of another entry VM according to its last heartbeat. */
interface Member {
  address: string;
  incarnation: string;
  state: 'live' | 'leaving';
  dataCentre: string;
  callerAddress: string;
  /** Bandwidth of the VM's network link in Mbit/s; 0 if unknown. */
  linkMbps: number;
  /** Arrival time of the first heartbeat of this incarnation, in milliseconds. */
  heardSince: number;
  /** Arrival time of the last heartbeat on this VM's clock, in milliseconds. */
  lastHeartbeatAt: number;
  tableRevision: number;
  newestRow: number;
  /** Age of the VM's last confirmed data, in milliseconds; undefined if it has none. */
  confirmedAgeMs: number | undefined;
  inFlight: number;
  /** Whether the key-value service does not answer the VM. */
  isServiceLost: boolean;
  /** Addresses of the VMs from which the other VM had received a recent heartbeat. */
  heard: ReadonlySet<string>;
  /** Whether the VM has reported a recent heartbeat from this one. */
  receivesHeartbeats: boolean;
}

export default Member;
