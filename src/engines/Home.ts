/** An engine that could load an adapter, with what the choice depends on. */
interface Home {
  id: string;
  /** Loads that are under way or waiting there. */
  pending: number;
  inFlight: number;
  slots: number;
  /** Whether every place holds an adapter. */
  isFull: boolean;
}

export default Home;
