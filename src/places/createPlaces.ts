import type Message from '../mesh/Message';
import type Obstacle from '../readiness/Obstacle';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import type createBrittleServices from './createBrittleServices';
import type createPlaceIssuer from './createPlaceIssuer';

/** A reply takes a round trip between two VMs. The request goes elsewhere if none comes in time. */
const REPLY_TIMEOUT_MS = 150;
/** Time for which no further place is wanted after there was none. */
const FULL_PAUSE_MS = 60;

interface PlacesHost extends Clock {
  /** Returns the VM that gives out the places of an upstream; undefined if there is none. */
  tryGetIssuer(now: number, upstream: string): string | undefined;
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
}

/** Ends the hold of a place; `isTurnedAway`: the upstream had no room for the request. */
type GiveBack = (isTurnedAway: boolean) => void;

/**
 * Takes a place for each request to an upstream that must not be sent more than it has room for. The
 * places of an upstream are given out by one VM, so that all VMs agree on them.
 */
export default function createPlaces(
  host: PlacesHost,
  parts: {
    brittleServices: Pick<ReturnType<typeof createBrittleServices>, 'isBrittle'>;
    issuer: ReturnType<typeof createPlaceIssuer>;
  },
  options: { address: string },
) {
  const waiting = new Map<number, (isGranted: boolean) => void>();
  const fullUntil = new Map<string, number>();
  let lastId = 0;

  /** Takes a place for a request that lasts at most `holdMs`; undefined if there is none. */
  async function take({ id }: Upstream, holdMs: number): Promise<GiveBack | undefined> {
    const now = host.now();
    const issuer = host.tryGetIssuer(now, id);
    lastId += 1;
    const place = lastId;
    const isGranted =
      issuer === options.address
        ? parts.issuer.tryTake(now, id, getHolder(options.address, place), holdMs)
        : issuer !== undefined && (await wantPlace(issuer, id, place, holdMs));
    if (!isGranted || issuer === undefined) {
      fullUntil.set(id, host.now() + FULL_PAUSE_MS);
      return undefined;
    }
    return (isTurnedAway) => {
      const ended = { upstream: id, id: place, isTurnedAway };
      if (issuer === options.address) {
        handleEnd(options.address, ended);
      } else {
        host.send(issuer, { kind: 'placeEnded', ...ended });
      }
    };
  }

  function wantPlace(
    issuer: string,
    upstream: string,
    id: number,
    holdMs: number,
  ): Promise<boolean> {
    if (!host.send(issuer, { kind: 'placeWanted', upstream, id, holdMs })) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      const end = (isGranted: boolean) => {
        cancel();
        waiting.delete(id);
        resolve(isGranted);
      };
      const cancel = host.setTimer(REPLY_TIMEOUT_MS, () => end(false));
      waiting.set(id, end);
    });
  }

  /** Replies to another VM that wants a place. */
  function handleRequest(
    from: string,
    { upstream, id, holdMs }: Extract<Message, { kind: 'placeWanted' }>,
  ): void {
    const isIssuer = host.tryGetIssuer(host.now(), upstream) === options.address;
    const isGranted =
      isIssuer && parts.issuer.tryTake(host.now(), upstream, getHolder(from, id), holdMs);
    host.send(from, { kind: 'place', upstream, id, isGranted });
  }

  /** Handles the reply to a wanted place; one that comes too late is given back. */
  function handleReply(
    from: string,
    { upstream, id, isGranted }: Extract<Message, { kind: 'place' }>,
  ): void {
    const end = waiting.get(id);
    if (end) {
      end(isGranted);
    } else if (isGranted) {
      host.send(from, { kind: 'placeEnded', upstream, id, isTurnedAway: false });
    }
  }

  function handleEnd(
    from: string,
    { upstream, id, isTurnedAway }: { upstream: string; id: number; isTurnedAway: boolean },
  ): void {
    parts.issuer.giveBack(host.now(), upstream, getHolder(from, id), isTurnedAway);
  }

  return {
    take,
    isNeeded: (now: number, upstream: Upstream) => parts.brittleServices.isBrittle(now, upstream),
    handleRequest,
    handleReply,
    handleEnd,
    tryGetObstacle: (now: number, upstream: Upstream): Obstacle | undefined =>
      parts.brittleServices.isBrittle(now, upstream) &&
      now < (fullUntil.get(upstream.id) ?? -Infinity)
        ? { kind: 'full', isBinding: true }
        : undefined,
    remove: (upstream: string) => {
      parts.issuer.remove(upstream);
      fullUntil.delete(upstream);
    },
  };
}

function getHolder(vm: string, id: number): string {
  return `${vm} ${id}`;
}
