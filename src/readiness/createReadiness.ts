import type EngineStates from '../engines/EngineStates';
import type Log from '../events/Log';
import type ResponseHead from '../gateway/ResponseHead';
import type Message from '../mesh/Message';
import type Places from '../places/Places';
import type RateLimiting from '../rateLimits/RateLimiting';
import type Upstream from '../upstream/Upstream';
import type UpstreamHealth from '../upstream/UpstreamHealth';
import type Upstreams from '../upstream/Upstreams';
import type Obstacle from './Obstacle';
import type ReadinessSource from './ReadinessSource';
import createDepartures from './createDepartures';
import createObstacles from './createObstacles';
import createRests from './createRests';

interface ReadinessHost {
  broadcast(message: Message): void;
  /** Called once for each incarnation of an upstream that is known to leave. */
  onDeparture(now: number, upstream: string): void;
  countNotice(kind: 'leaving' | 'rest'): void;
  log: Log;
}

/**
 * Creates this VM's account of whether upstreams are ready for new requests. Each source keeps what it
 * knows, and decides when that ends.
 */
export default function createReadiness(
  host: ReadinessHost,
  parts: {
    upstreams: Pick<Upstreams, 'tryGet'>;
    rateLimiting: Pick<RateLimiting, 'isClosed'>;
    places: Pick<Places, 'tryGetObstacle'>;
    health: Pick<UpstreamHealth, 'isSuspended' | 'recordRefusalElsewhere'>;
    engineStates: Pick<EngineStates, 'isUnreachable'>;
  },
) {
  const rests = createRests({
    ...host,
    onRestElsewhere: parts.health.recordRefusalElsewhere,
    countRest: () => host.countNotice('rest'),
  });
  const departures = createDepartures({
    ...host,
    tryGetUpstream: parts.upstreams.tryGet,
    countDeparture: () => host.countNotice('leaving'),
  });
  const obstacles = createObstacles([
    createSource('leaving', departures.tryGetObstacle),
    createSource('leaving', (_, { id }) =>
      parts.upstreams.tryGet(id) ? undefined : { kind: 'leaving', isBinding: true },
    ),
    createSource('resting', rests.tryGetObstacle),
    createSource('full', parts.places.tryGetObstacle),
    createSource('limited', (now, upstream) =>
      parts.rateLimiting.isClosed(now, upstream) ? { kind: 'limited', isBinding: true } : undefined,
    ),
    createSource('suspended', (now, { id }) =>
      parts.health.isSuspended(now, id) ? { kind: 'suspended', isBinding: false } : undefined,
    ),
    createSource('unreachable', (_, { id }) =>
      parts.engineStates.isUnreachable(id) ? { kind: 'unreachable', isBinding: false } : undefined,
    ),
  ]);

  return {
    ...obstacles,
    /** Records what the head of an upstream's response states, to any kind of request. */
    observe: (now: number, upstream: Upstream, head: ResponseHead) => {
      rests.observe(now, upstream, head);
      departures.observe(now, upstream, head);
    },
    observeRegistration: departures.observeRegistration,
    receiveDepartures: departures.receive,
    receiveRest: rests.receive,
    /** Repeats what VMs that started later lack; called at regular intervals. */
    publish: departures.publish,
    getRestMs: rests.getEndsInMs,
  };
}

/** Returns a source that is asked for one kind of obstacle only. */
function createSource(
  onlyKind: Obstacle['kind'],
  tryGetObstacle: (now: number, upstream: Upstream) => Obstacle | undefined,
): ReadinessSource {
  return Object.assign((now: number, upstream: Upstream) => tryGetObstacle(now, upstream), {
    onlyKind,
  });
}
