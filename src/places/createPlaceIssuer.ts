import type Upstream from '../upstream/Upstream';

/** After a request was turned away, no place is given for this long, and one fewer afterwards. */
const TURNED_AWAY_PAUSE_MS = 500;
/** Time after which a reduced number of places grows by one. */
const RECOVERY_MS = 2000;
/** A new issuer counts requests that a former one has let through for this long. */
const TAKEOVER_MS = 1000;

interface Places {
  startedAt: number;
  /** End of the time of each request that has a place, by its id. */
  held: Map<string, number>;
  count: number;
  changedAt: number;
  closedUntil: number;
  issuedSince: number;
}

interface PlaceIssuerHost {
  tryGetUpstream(id: string): Upstream | undefined;
  /** Returns the requests in flight at an upstream, from all VMs; some hundred milliseconds old. */
  getInFlight(now: number, upstream: string): number;
}

/**
 * Gives out the places of upstreams, one for each request that an upstream serves at the same time, so
 * that all VMs together send no more than it can begin.
 */
export default function createPlaceIssuer(host: PlaceIssuerHost) {
  const upstreams = new Map<string, Places>();

  function getPlaces(now: number, { id, startedAt, slots }: Upstream): Places {
    const known = upstreams.get(id);
    const places =
      known?.startedAt === startedAt
        ? known
        : {
            startedAt,
            held: new Map<string, number>(),
            count: slots,
            changedAt: now,
            closedUntil: -Infinity,
            issuedSince: now,
          };
    upstreams.set(id, places);
    places.held.forEach((until, holder) => {
      if (until <= now) {
        places.held.delete(holder);
      }
    });
    if (places.count < slots && now - places.changedAt > RECOVERY_MS) {
      places.count += 1;
      places.changedAt = now;
    }
    return places;
  }

  /** Returns whether a request gets a place, which it holds for at most `holdMs`. */
  function tryTake(now: number, upstream: string, holder: string, holdMs: number): boolean {
    const registered = host.tryGetUpstream(upstream);
    if (!registered) {
      return false;
    }
    const places = getPlaces(now, registered);
    const isTakingOver = now - places.issuedSince < TAKEOVER_MS;
    const inFlight = isTakingOver ? host.getInFlight(now, upstream) : 0;
    const isFull = Math.max(places.held.size, inFlight) >= places.count;
    if (isFull || now < places.closedUntil) {
      return false;
    }
    places.held.set(holder, now + holdMs);
    return true;
  }

  /** Ends the hold of a place; `isTurnedAway`: the upstream had no room for the request. */
  function giveBack(now: number, upstream: string, holder: string, isTurnedAway: boolean): void {
    const places = upstreams.get(upstream);
    if (!places?.held.delete(holder) || !isTurnedAway) {
      return;
    }
    places.count = Math.max(1, Math.min(places.count, places.held.size));
    places.changedAt = now;
    places.closedUntil = now + TURNED_AWAY_PAUSE_MS;
  }

  return { tryTake, giveBack, remove: (upstream: string) => upstreams.delete(upstream) };
}
