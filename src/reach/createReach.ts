import type Log from '../events/Log';
import type Message from '../mesh/Message';
import type ProbeOutcome from '../upstream/ProbeOutcome';
import type Upstream from '../upstream/Upstream';
import chooseProbeTargets from './chooseProbeTargets';

/** Upstreams that must all be out of reach before this VM takes itself for partitioned. */
const PROBED_UPSTREAMS = 4;
const MIN_PROBED_UPSTREAMS = 2;
/** Upstreams probed at once while partitioned; one that accepts ends it. */
const REPROBED_UPSTREAMS = 2;
/** Shortest time between two doubts that lead to a probe. */
const DOUBT_INTERVAL_MS = 500;
/** Time without a byte of any upstream, while requests wait for one, that raises a doubt. */
const SILENCE_MS = 600;
/** A VM in use that has received nothing of any upstream for this long probes one. */
const IDLE_MS = 1500;
const IN_USE_MS = 30_000;
/** A VM that has not repeated for this long that it is partitioned no longer is. */
const PEER_VALID_MS = 3000;
const REPEAT_MS = 1000;

interface ReachHost {
  now(): number;
  /** Opens and closes a connection to an address (`ip:port`). */
  probe(address: string): Promise<ProbeOutcome>;
  getUpstreams(): readonly Upstream[];
  /** Returns when the last bytes of a response that is not complete arrived, or -Infinity. */
  getLastByteAt(): number;
  /** Returns whether requests at upstreams have waited for their first byte since a time. */
  hasWaited(since: number): boolean;
  broadcast(message: Message): void;
  /** Called when this VM finds that it reaches no upstream. */
  onPartitioned(now: number): void;
  /** Returns a number from 0 to 1. */
  random(): number;
  log: Log;
}

/**
 * Finds out whether this VM is partitioned from all upstreams, by opening connections once requests
 * fail or wait for long, and keeps which other VMs say so of themselves.
 */
export default function createReach(host: ReachHost) {
  const peers = new Map<string, number>();
  let isPartitioned = false;
  let partitionedAt = Infinity;
  let isProbing = false;
  let doubtedAt = -Infinity;
  let repeatedAt = -Infinity;
  let lastByteAt = -Infinity;

  /** Records that a request to an upstream failed in a way that a partition explains. */
  async function recordDoubt(now: number): Promise<void> {
    if (isPartitioned || isProbing || now - doubtedAt < DOUBT_INTERVAL_MS) {
      return;
    }
    doubtedAt = now;
    isProbing = true;
    const [first, ...others] = chooseProbeTargets(
      host.getUpstreams(),
      PROBED_UPSTREAMS,
      host.random,
    );
    const isLost =
      others.length + 1 >= MIN_PROBED_UPSTREAMS &&
      !(await reachesAny([first])) &&
      !(await reachesAny(others));
    isProbing = false;
    if (isLost) {
      setPartitioned(true);
    }
  }

  async function reachesAny(targets: readonly (Upstream | undefined)[]): Promise<boolean> {
    const outcomes = await Promise.all(
      targets.map((target) => target && host.probe(target.address)),
    );
    return outcomes.includes('accepted');
  }

  function setPartitioned(isNowPartitioned: boolean): void {
    const now = host.now();
    isPartitioned = isNowPartitioned;
    partitionedAt = isPartitioned ? now : Infinity;
    host.log(isPartitioned ? 'upstreamsUnreachable' : 'upstreamsReachable');
    announce(now);
    if (isPartitioned) {
      host.onPartitioned(now);
    }
  }

  function announce(now: number): void {
    repeatedAt = now;
    host.broadcast({ kind: 'reach', isPartitioned });
  }

  /** Probes again while partitioned, and looks for silence; called at regular intervals. */
  async function refresh(now: number): Promise<void> {
    if (!isPartitioned) {
      lastByteAt = Math.max(lastByteAt, host.getLastByteAt());
      const isSilent = now - lastByteAt > SILENCE_MS && host.hasWaited(now - SILENCE_MS);
      const isIdle =
        now - lastByteAt < IN_USE_MS && now - Math.max(lastByteAt, doubtedAt) > IDLE_MS;
      if (isSilent || isIdle) {
        await recordDoubt(now);
      }
      return;
    }
    if (now - repeatedAt >= REPEAT_MS) {
      announce(now);
    }
    if (isProbing) {
      return;
    }
    isProbing = true;
    const targets = chooseProbeTargets(host.getUpstreams(), REPROBED_UPSTREAMS, host.random);
    const isReached = await reachesAny(targets);
    isProbing = false;
    if (isReached) {
      setPartitioned(false);
    }
  }

  return {
    recordDoubt,
    recordByte: (now: number) => {
      lastByteAt = now;
    },
    refresh,
    isPartitioned: () => isPartitioned,
    /** Returns for how long this VM has reached no upstream, in milliseconds; 0 if it reaches any. */
    getPartitionedMs: (now: number) => Math.max(0, now - partitionedAt),
    receive: (now: number, from: string, message: { isPartitioned: boolean }) => {
      if (message.isPartitioned) {
        peers.set(from, now);
      } else {
        peers.delete(from);
      }
    },
    /** Returns whether another VM reaches no upstream. */
    isPeerPartitioned: (now: number, vm: string) =>
      now - (peers.get(vm) ?? -Infinity) < PEER_VALID_MS,
  };
}
