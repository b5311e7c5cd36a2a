/** Where a stream that may be resumed began. */
interface StreamOrigin {
  /** Id of the request that brought its first event. */
  request: string;
  service: string;
  /** Software version of the upstream; see `getSoftwareVersion`. */
  version: string;
}

export default StreamOrigin;
