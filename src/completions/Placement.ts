/** A place on an engine for one request. Its adapter stays until the release. */
interface Placement {
  engine: string;
  address: string;
  name: string;
  release(): void;
}

export default Placement;
