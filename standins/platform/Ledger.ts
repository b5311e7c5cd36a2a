/** What the stand-ins have seen, for the judgement of a run. Times are of the day, in milliseconds. */
interface Ledger {
  /** Runs by request id, in order; the model is the adapter's name where one was asked for. */
  runs: Record<
    string,
    { at: number; server: string; model: string; version: number; isOnce: boolean }[]
  >;
  /** Things that no server may see: places exceeded, orders of two owners mixed. */
  faults: {
    at: number;
    holder: string;
    text: string;
    /** The order before, where two do not go together. */
    former?: { holder: string; at: number };
  }[];
  /** Orders by outcome. */
  orders: Record<string, number>;
}

export default Ledger;
