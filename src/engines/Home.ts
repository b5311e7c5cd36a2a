/** An engine that could load an adapter, with what the choice depends on. */
interface Home {
  id: string;
  /** Loads that are under way or waiting there. */
  pending: number;
  inFlight: number;
  slots: number;
  /** Time that the prompts before this one take to be read there, in milliseconds. */
  waitMs: number;
  /** Places that hold no adapter, and places whose adapter no request uses. */
  freePlaces: number;
  idlePlaces: number;
}

export default Home;
