/** Permission to run one request on an engine. This VM pins the adapter until the release. */
interface Placement {
  engine: string;
  address: string;
  /** Name of the adapter at the engine. */
  name: string;
  /** Removes the pin and ends the owner's grant, if there is one. */
  release(): void;
}

export default Placement;
