import rankByRendezvous from '../shared/rankByRendezvous';
import type LoadTarget from './LoadTarget';

/** Loads on their way to one engine at once; more wait in line. */
const MAX_PENDING = 4;
/** Above this share of its slots an engine takes no further adapter while others have room. */
const MAX_FILL = 0.8;
/** An engine with this many times the mean of requests in progress takes no further adapter. */
const MAX_LOAD = 1.25;
/** Differences of a few requests are chance. */
const LOAD_SLACK = 3;
const MAX_WAIT_MS = 150;
/** Homes that an adapter returns to: where it was lately, it loads ten times as fast. */
const HOMES = 2;

/**
 * Chooses the engine that loads an adapter: its first home by rendezvous hashing, the next one
 * where that has no room; none where no engine has. Answers many adapters asked for in turn on few places.
 */
export default function chooseLoadTarget(
  key: string,
  homes: readonly LoadTarget[],
): LoadTarget | undefined {
  const byId = new Map(homes.map((home) => [home.id, home]));
  const ranked = rankByRendezvous(
    key,
    homes.map((home) => home.id),
  ).map((id) => byId.get(id)!);
  const mean = homes.reduce((sum, home) => sum + home.inFlight, 0) / Math.max(1, homes.length);
  const hasPlace = (home: LoadTarget) =>
    home.pending < MAX_PENDING &&
    home.pending < home.freeAdapterSlots + home.idleAdapterSlots &&
    home.inFlight < home.slots * MAX_FILL;
  const hasRoom = (home: LoadTarget) =>
    hasPlace(home) && home.inFlight <= mean * MAX_LOAD + LOAD_SLACK && home.waitMs <= MAX_WAIT_MS;
  const preferred = ranked.slice(0, HOMES).filter(hasRoom);
  return (
    preferred.find((home) => home.freeAdapterSlots > home.pending) ??
    preferred[0] ??
    ranked.find(hasRoom) ??
    ranked.find(hasPlace)
  );
}
