/** The engines' specification lets a command without a response be executed some seconds later. */
const LATE_COMMAND_MS = 15_000;
const MAX_LOADS = 256;

interface UnansweredLoad {
  /** Start time of the run of the engine that the load was sent to. */
  startedAt: number;
  expectedSequence: number;
  sentAt: number;
}

/**
 * Holds the loads that an engine has not answered. After a restart under the same id, the engine
 * counts its commands from 0 again, and executes a load sent before once its count is the expected
 * one; room is reserved for it until then.
 */
export default function createUnansweredLoads() {
  let loads: UnansweredLoad[] = [];

  /** Records a load that is being sent. Returns a function to call once it is answered. */
  function begin(now: number, startedAt: number, expectedSequence: number): () => void {
    const load = { startedAt, expectedSequence, sentAt: now };
    loads = [...loads.filter(({ sentAt }) => now - sentAt < LATE_COMMAND_MS), load].slice(
      -MAX_LOADS,
    );
    return () => {
      loads = loads.filter((other) => other !== load);
    };
  }

  /**
   * Returns how many loads sent to earlier runs the engine may still execute, given its command
   * count; of those with the same expected count it executes one.
   */
  function getPendingCount(now: number, startedAt: number, sequence: number): number {
    const expected = loads
      .filter((load) => load.startedAt !== startedAt && now - load.sentAt < LATE_COMMAND_MS)
      .map(({ expectedSequence }) => expectedSequence)
      .filter((expectedSequence) => expectedSequence >= sequence);
    return new Set(expected).size;
  }

  /** Returns whether no load is left that may be executed late. */
  function isExpired(now: number): boolean {
    return loads.every(({ sentAt }) => now - sentAt >= LATE_COMMAND_MS);
  }

  return { begin, getPendingCount, isExpired };
}
