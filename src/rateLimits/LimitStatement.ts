/**
 * What an upstream stated about the requests that it takes from all VMs together. The times bound the
 * moment of the statement, on this VM's clock in milliseconds.
 */
interface LimitStatement {
  upstream: string;
  /** Start time of the upstream's incarnation; a restarted upstream has stated nothing. */
  startedAt: number;
  /** VM that received the statement, and its number there; they identify a repeated statement. */
  source: string;
  sequence: number;
  /** Requests a second; undefined if the upstream states no limit. */
  perSecond: number | undefined;
  /** The request whose response carried the statement was sent at this time. */
  madeAfter: number;
  /** The head of the response was received at this time. */
  madeBefore: number;
}

export default LimitStatement;
