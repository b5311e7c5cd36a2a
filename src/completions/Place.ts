/** A place on an engine for one request. Its adapter stays until the release. */
interface Place {
  engine: string;
  address: string;
  name: string;
  release(): void;
}

export default Place;
