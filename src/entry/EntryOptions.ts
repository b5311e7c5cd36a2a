import type PoolOptions from '../pool/PoolOptions';

/** Settings of one entry VM. */
interface EntryOptions {
  /** `ip:port` of the links between entry VMs; the VM's identity. */
  address: string;
  callerAddress: string;
  dataCentre: string;
  seeds: string[];
  leaseSeconds: number;
  rootToken: string | undefined;
  pool: PoolOptions;
  deadlinesMs: { interactive: number; deferrable: number };
  serviceTimeoutMs: number;
  callKeptSeconds: number;
  firstTokenSilenceMs: number;
  silenceMs: number;
  maxBodyBytes: number;
  bodyTimeoutMs: number;
  /** How long callers may use an answer of `where`. */
  handedOutMs: number;
  stopDeadlineMs: number;
}

export default EntryOptions;
