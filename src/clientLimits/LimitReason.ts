/** Why a client outside the limits was refused or disconnected; also the label of a metric. */
type LimitReason =
  /** All connections of an address are in use, and the new one was closed. */
  | 'connections'
  /** An idle connection was closed for a new one. */
  | 'idleConnection'
  | 'pipelining'
  /** A response was not read. */
  | 'unread'
  /** A body did not progress. */
  | 'stuckBody'
  /** The largest holder was closed, since more is held than the limit. */
  | 'overLimit'
  /** All connections to upstreams are in use. */
  | 'upstreamConnections';

export default LimitReason;
