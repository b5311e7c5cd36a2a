import getMergedInFlight from '../load/getMergedInFlight';
import type UpstreamLoads from '../load/UpstreamLoads';
import type Readiness from '../readiness/Readiness';
import type Usage from '../usage/Usage';
import type Candidate from './Candidate';
import sampleUpstreams from './sampleUpstreams';
import type Upstream from './Upstream';
import type UpstreamHealth from './UpstreamHealth';

/** Among fewer upstreams, a sample leaves out the one that is free too often. */
const MIN_SAMPLED = 4;

interface CandidatesHost {
  /** Returns the prefill time of the prompts queued on an engine, in milliseconds. */
  getBacklogMs(engine: string): number;
  /** Returns a number from 0 to 1. */
  random(): number;
  /** Returns the requests that all VMs together may have in flight at an upstream now. */
  getPace(now: number, upstream: Upstream): number;
}

/**
 * Creates the function that returns the candidates for a request. Where upstreams state their load,
 * these are a random sample, so that the cost of a choice does not grow with the number of upstreams
 * and VMs with old counts don't all choose the same one.
 */
export default function createCandidates(
  host: CandidatesHost,
  parts: {
    usage: Pick<Usage, 'getInFlight'>;
    loads: Pick<UpstreamLoads, 'isStated' | 'getStated' | 'getDuration'>;
    health: Pick<UpstreamHealth, 'getFailureRate' | 'compareLatencies'>;
    readiness: Pick<Readiness, 'isOpen' | 'isAvoided'>;
  },
  options: { dataCentre: string },
) {
  const { usage, loads, health, readiness } = parts;

  /** Returns the candidates among upstreams of one service. */
  function getCandidates(
    now: number,
    ready: readonly Upstream[],
    excludedUpstreams: ReadonlySet<string>,
  ): Candidate[] {
    const isUsable = (upstream: Upstream) =>
      !excludedUpstreams.has(upstream.id) && readiness.isOpen(now, upstream);
    if (ready.length > 0 && loads.isStated(ready[0].service)) {
      const sample =
        ready.length < MIN_SAMPLED
          ? []
          : sampleUpstreams(
              ready,
              options.dataCentre,
              host.random,
              (upstream) => isUsable(upstream) && !readiness.isAvoided(now, upstream),
            ).map((upstream) => createStatedCandidate(now, upstream));
      const hasRoom = sample.some(({ inFlight, slots, isAtPace }) => inFlight < slots && !isAtPace);
      return hasRoom
        ? sample
        : ready.filter(isUsable).map((upstream) => createStatedCandidate(now, upstream));
    }
    const getRelativeLatency = health.compareLatencies(ready.map(({ id }) => id));
    return ready.filter(isUsable).map((upstream) => ({
      ...createCandidate(now, upstream),
      relativeLatency: getRelativeLatency(upstream.id),
    }));
  }

  function createStatedCandidate(now: number, upstream: Upstream): Candidate {
    const candidate = createCandidate(now, upstream);
    const stated = loads.getStated(now, upstream);
    const inFlight = getMergedInFlight(candidate.inFlight, stated, upstream.slots);
    return {
      ...candidate,
      inFlight,
      isAtPace: inFlight >= host.getPace(now, upstream),
      duration: loads.getDuration(now, upstream),
      isLoadStated: true,
    };
  }

  function createCandidate(now: number, upstream: Upstream): Candidate {
    return {
      id: upstream.id,
      dataCentre: upstream.dataCentre,
      slots: upstream.slots,
      waitMs: host.getBacklogMs(upstream.id),
      inFlight: usage.getInFlight(now, upstream.id),
      failureRate: health.getFailureRate(now, upstream.id),
      relativeLatency: 1,
      isSuspended: readiness.isAvoided(now, upstream),
    };
  }

  return getCandidates;
}
