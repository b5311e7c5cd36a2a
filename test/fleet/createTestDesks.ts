import type Clock from '../../src/shared/Clock';
import type ResponseHandler from '../../src/upstream/ResponseHandler';
import type Upstream from '../../src/upstream/Upstream';

const LINK_DELAY_MS = 1;
const SERVICE_MS = 50;
const EVENT_COUNT = 10;
const EVENT_INTERVAL_MS = 200;
/** Time from the begin of a crashing request to the end of its desk. */
const CRASH_MS = 30;
/** Time after a crash at which a desk is back at its address, under another id. */
const RESTART_MS = 3000;

/** A request as its desk receives it. */
interface TestRequest {
  /** Id of the upstream that it is meant for. */
  upstream: string;
  path: string;
  /** Number of the event after which a stream resumes. */
  resumeAfter: number;
  /** Returns whether the VM that sent it still runs. */
  isSenderRunning(): boolean;
}

interface Call {
  handler: ResponseHandler;
  cancels: (() => void)[];
}

/**
 * Creates upstreams of a service that is not a model. They can state limits, and crash by themselves or
 * under requests.
 */
export default function createTestDesks(
  host: Clock & {
    register(id: string, desk: Upstream | undefined): void;
    /** Returns whether a request crashes each desk that runs it. */
    isCrashing(path: string): boolean;
  },
  count: number,
) {
  const desks = Array.from({ length: count }, (_, index) => createDesk(index));
  /** Limits that desks state, in requests a second. */
  const limits = new Map<string, number>();
  /** Desks that state in their responses that they leave. */
  const leaving = new Set<Upstream>();
  /** Time until which a desk turns requests away, and the rest that it states, in milliseconds. */
  const rests = new Map<Upstream, { until: number; statedMs: number }>();
  /** Requests that brittle desks let wait, and that they turn away in a second before they fall over. */
  let brittleness: { waiting: number; maxTurnedAway: number } | undefined;
  /** How long desks that reject what exceeds their slots run a request; undefined if desks take all. */
  let getRejectingMs: ((upstream: string) => number) | undefined;
  const rejections: { at: number; vm: string; upstream: string; path: string }[] = [];
  /** Desks that answer each request with an error at once. */
  const failing = new Set<string>();
  const falls: { at: number; upstream: string }[] = [];
  const turnedAway: { at: number; vm: string; upstream: string }[] = [];
  const arrivals: { at: number; vm: string; upstream: string; path: string }[] = [];
  const crashes: { at: number; upstream: string; path: string | undefined }[] = [];
  const calls = new Map<Upstream, Set<Call>>();
  const down = new Set<Upstream>();

  function tryGet(address: string): Upstream | undefined {
    return desks.find((desk) => desk.address === address);
  }

  function run(vm: string, desk: Upstream, request: TestRequest, handler: ResponseHandler) {
    const { upstream, path } = request;
    const call: Call = { handler, cancels: [] };
    const setTimer = (delayMs: number, callback: () => void) =>
      call.cancels.push(host.setTimer(delayMs, callback));
    const running = calls.get(desk) ?? new Set();
    calls.set(desk, running);
    const end = () => running.delete(call);
    setTimer(LINK_DELAY_MS, () => {
      if (down.has(desk)) {
        handler.onError({ kind: 'notSent', reason: 'ECONNREFUSED' });
        return;
      }
      if (desk.id !== upstream) {
        handler.onHead(421, {});
        handler.onEnd();
        return;
      }
      arrivals.push({ at: host.now(), vm, upstream: desk.id, path });
      const notices: Record<string, string> = leaving.has(desk) ? { leaving: '1' } : {};
      const rest = rests.get(desk);
      if (rest && host.now() < rest.until) {
        turnedAway.push({ at: host.now(), vm, upstream: desk.id });
        handler.onHead(503, { ...notices, rest: String(rest.statedMs) });
        handler.onEnd();
        return;
      }
      if (brittleness) {
        notices.brittle = String(brittleness.maxTurnedAway);
        if (running.size >= desk.slots + brittleness.waiting) {
          handler.onHead(503, notices);
          handler.onEnd();
          turnedAway.push({ at: host.now(), vm, upstream: desk.id });
          const recent = turnedAway.filter(
            ({ upstream: id, at }) => id === desk.id && at > host.now() - 1000,
          );
          if (recent.length > brittleness.maxTurnedAway) {
            falls.push({ at: host.now(), upstream: desk.id });
            crash(desk.id);
          }
          return;
        }
      }
      if (getRejectingMs && running.size >= desk.slots) {
        rejections.push({ at: host.now(), vm, upstream: desk.id, path });
        handler.onHead(503, notices);
        handler.onEnd();
        return;
      }
      if (failing.has(desk.id)) {
        handler.onHead(500, notices);
        handler.onData(Buffer.from('failed'));
        handler.onEnd();
        return;
      }
      running.add(call);
      if (host.isCrashing(path)) {
        setTimer(CRASH_MS, () => crash(desk.id, path));
        return;
      }
      if (path.startsWith('/talk/')) {
        const { softwareVersion } = desk;
        handler.onHead(200, { ...notices, 'content-type': 'text/event-stream' });
        const sendEvent = (event: number) => {
          if (!request.isSenderRunning()) {
            end();
            return;
          }
          handler.onData(Buffer.from(`id: ${event}\ndata: ${softwareVersion}\n\n`));
          if (event < EVENT_COUNT) {
            setTimer(EVENT_INTERVAL_MS, () => sendEvent(event + 1));
          } else {
            end();
            handler.onEnd();
          }
        };
        setTimer(SERVICE_MS, () => sendEvent(request.resumeAfter + 1));
        return;
      }
      setTimer(getRejectingMs?.(desk.id) ?? SERVICE_MS, () => {
        end();
        const limit = limits.get(desk.id);
        const stated = leaving.has(desk) ? { ...notices, leaving: '1' } : notices;
        handler.onHead(200, limit === undefined ? stated : { ...stated, limit: String(limit) });
        handler.onData(Buffer.from('done'));
        handler.onEnd();
      });
    });
    const abort = () => {
      end();
      call.cancels.forEach((cancel) => cancel());
    };
    return { abort, pause: () => {}, resume: () => {} };
  }

  /** Ends a desk with its requests; it comes back under another id. */
  function crash(id: string, path?: string): void {
    const desk = desks.find((candidate) => candidate.id === id);
    if (!desk || down.has(desk)) {
      return;
    }
    crashes.push({ at: host.now(), upstream: id, path });
    down.add(desk);
    const lost = [...(calls.get(desk) ?? [])];
    calls.get(desk)?.clear();
    lost.forEach(({ handler, cancels }) => {
      cancels.forEach((cancel) => cancel());
      host.setTimer(LINK_DELAY_MS, () => handler.onError({ kind: 'lost', reason: 'reset' }));
    });
    host.setTimer(RESTART_MS, () => {
      if (!desks.includes(desk)) {
        return;
      }
      host.register(desk.id, undefined);
      limits.delete(desk.id);
      const [name, restarts = '0'] = desk.id.split('.');
      desk.id = `${name}.${Number(restarts) + 1}`;
      desk.startedAt += 1;
      down.delete(desk);
      host.register(desk.id, desk);
    });
  }

  /** Starts a further desk with a software version. */
  function add(softwareVersion: string): string {
    const desk = { ...createDesk(desks.length), softwareVersion };
    desks.push(desk);
    host.register(desk.id, desk);
    return desk.id;
  }

  /** Removes a desk, with the requests that it runs. */
  function remove(id: string): void {
    crash(id);
    const index = desks.findIndex((desk) => desk.id === id);
    const [desk] = desks.splice(index, 1);
    host.register(desk.id, undefined);
  }

  /** Restarts a desk at once under the same id. */
  function restart(id: string): void {
    const desk = desks.find((candidate) => candidate.id === id)!;
    desk.startedAt += 1;
    desk.state = 'ready';
    limits.delete(id);
    leaving.delete(desk);
    rests.delete(desk);
    host.register(id, desk);
  }

  /** Lets desks state in all responses that they leave; their registrations do not change. */
  function leave(ids: readonly string[]): void {
    desks.filter(({ id }) => ids.includes(id)).forEach((desk) => leaving.add(desk));
  }

  /** Lets desks turn requests away for `forMs`, each time stating a rest of `statedMs`. */
  function turnAway(ids: readonly string[], statedMs: number, forMs = statedMs): void {
    const until = host.now() + forMs;
    desks
      .filter(({ id }) => ids.includes(id))
      .forEach((desk) => rests.set(desk, { until, statedMs }));
  }

  /** Registers a desk anew with a state, as its record of an earlier time did. */
  function register(id: string, state: Upstream['state']): void {
    host.register(id, { ...desks.find((desk) => desk.id === id)!, state });
  }

  return {
    tryGet,
    run,
    crash,
    add,
    remove,
    restart,
    isDown: (address: string) => {
      const desk = tryGet(address);
      return desk !== undefined && down.has(desk);
    },
    registerAll: () => desks.forEach((desk) => host.register(desk.id, desk)),
    getIds: () => desks.map(({ id }) => id),
    setLimit: (id: string, perSecond: number | undefined) =>
      perSecond === undefined ? limits.delete(id) : limits.set(id, perSecond),
    leave,
    turnAway,
    register,
    arrivals,
    turnedAway,
    falls,
    setBrittle: (stated: typeof brittleness, slots?: number) => {
      brittleness = stated;
      desks.forEach((desk) => {
        desk.slots = slots ?? desk.slots;
        host.register(desk.id, desk);
      });
    },
    /** Lets desks run `slots` requests, each for `getMs`, and reject what exceeds them. */
    setRejecting: (slots: number, getMs: (upstream: string) => number) => {
      getRejectingMs = getMs;
      desks.forEach((desk) => {
        desk.slots = slots;
        host.register(desk.id, desk);
      });
    },
    setFailing: (id: string, isFailing: boolean) =>
      isFailing ? failing.add(id) : failing.delete(id),
    rejections,
    getRunning: () => [...calls].map(([{ id }, running]) => ({ id, count: running.size })),
    crashes,
  };
}

function createDesk(index: number): Upstream {
  return {
    id: `desk-${index + 1}`,
    startedAt: 1,
    service: 'desk',
    address: `10.0.2.${index + 1}:8761`,
    dataCentre: 'x',
    state: 'ready',
    slots: 16,
    softwareVersion: undefined,
    models: [],
  };
}
