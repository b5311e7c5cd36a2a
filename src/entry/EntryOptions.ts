import type PoolOptions from '../pool/PoolOptions';

/** Settings of one entry VM. */
interface EntryOptions {
  /** `ip:port` for links between entry VMs; identifies the VM. */
  address: string;
  /** `host:port` at which callers reach this VM. */
  callerAddress: string;
  dataCentre: string;
  /** Addresses of other entry VMs to contact at the start. */
  seeds: string[];
  leaseSeconds: number;
  /** Token of the operator who may edit all rows of the table. */
  rootToken: string | undefined;
  pool: PoolOptions;
  deadlinesMs: { interactive: number; deferrable: number };
  serviceTimeoutMs: number;
  /** How long the record of a call is kept. */
  callKeptSeconds: number;
  /** Time without a first token after which a stream counts as silent. */
  firstTokenSilenceMs: number;
  /** Time between two tokens after which a stream counts as silent. */
  silenceMs: number;
  maxBodyBytes: number;
  bodyTimeoutMs: number;
  /** How long callers may use a response of `where`. */
  handedOutMs: number;
  /** Time after which a graceful stop cuts off the requests still in flight. */
  stopDeadlineMs: number;
}

export default EntryOptions;
