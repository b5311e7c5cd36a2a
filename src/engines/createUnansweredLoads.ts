/** The engines' specification lets a command without a response be executed some seconds later. */
const LATE_COMMAND_MS = 15_000;
/** Greatest difference between the time of day of an engine and that of a VM. */
const CLOCK_TOLERANCE_MS = 5000;
/** Share of an engine's adapter slots that is kept free for loads whose number is not known. */
const UNKNOWN_LOADS_SHARE = 0.5;
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
 * one; room is reserved for it until then. Of loads that other processes sent only the time is known.
 */
export default function createUnansweredLoads() {
  let loads: UnansweredLoad[] = [];
  /** When the last load of another process was sent at the latest, by both clocks. */
  let othersUntil: { now: number; timeOfDay: number; firstRun: number | undefined } | undefined;

  /** Records that other processes may have sent loads until now, to the run `firstRun` or later ones. */
  function recordOthers(now: number, timeOfDay: number, firstRun: number | undefined): void {
    othersUntil = { now, timeOfDay, firstRun };
  }

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
   * Returns how many of an engine's slots to keep free for loads sent to earlier runs, given its
   * present run and command count.
   */
  function getReserve(
    now: number,
    run: { startedAt: number; sequence: number; slots: number },
  ): number {
    const unknown = mayHoldUnknown(now, run.startedAt)
      ? Math.ceil(run.slots * UNKNOWN_LOADS_SHARE)
      : 0;
    return Math.min(run.slots, getPendingCount(now, run.startedAt, run.sequence) + unknown);
  }

  /** Of the loads with the same expected count the engine executes one. */
  function getPendingCount(now: number, startedAt: number, sequence: number): number {
    const expected = loads
      .filter((load) => load.startedAt !== startedAt && now - load.sentAt < LATE_COMMAND_MS)
      .map(({ expectedSequence }) => expectedSequence)
      .filter((expectedSequence) => expectedSequence >= sequence);
    return new Set(expected).size;
  }

  /** Returns whether loads of other processes to an earlier run may still be executed. */
  function mayHoldUnknown(now: number, startedAt: number): boolean {
    return (
      othersUntil !== undefined &&
      startedAt !== othersUntil.firstRun &&
      now - othersUntil.now < LATE_COMMAND_MS &&
      startedAt > othersUntil.timeOfDay - LATE_COMMAND_MS - CLOCK_TOLERANCE_MS
    );
  }

  /** Returns whether no load is left that may be executed late. */
  function isExpired(now: number): boolean {
    return (
      (othersUntil === undefined || now - othersUntil.now >= LATE_COMMAND_MS) &&
      loads.every(({ sentAt }) => now - sentAt >= LATE_COMMAND_MS)
    );
  }

  return { recordOthers, begin, getReserve, isExpired };
}
