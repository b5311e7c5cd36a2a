/** Reply of the holder to a request for amounts of an allowance. */
interface LeaseReply {
  id: number;
  /** Whether the sender is the holder; if not, nothing is granted. */
  isHolder: boolean;
  /** Amount lent: that of the first `grantedCount` requests, and perhaps more for later ones. */
  amount: number;
  grantedCount: number;
  /** Time until the amount is available for each of the other requests. */
  retryAfterMs: number[];
  /** State of the account; see `Grant`. */
  level: number;
  lent: number;
  capacity: number;
}

export default LeaseReply;
