import type Clock from '../../src/shared/Clock';
import type ResponseHandler from '../../src/upstream/ResponseHandler';
import type Upstream from '../../src/upstream/Upstream';

const LINK_DELAY_MS = 1;
const SERVICE_MS = 50;
/** Time from the begin of a crashing request to the end of its desk. */
const CRASH_MS = 30;
/** Time after a crash at which a desk is back at its address, under another id. */
const RESTART_MS = 3000;

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
  const arrivals: { at: number; vm: string; upstream: string; path: string }[] = [];
  const crashes: { at: number; upstream: string; path: string | undefined }[] = [];
  const calls = new Map<Upstream, Set<Call>>();
  const down = new Set<Upstream>();

  function tryGet(address: string): Upstream | undefined {
    return desks.find((desk) => desk.address === address);
  }

  /** Runs a request that expects the upstream `id` at the desk's address. */
  function run(vm: string, desk: Upstream, id: string, path: string, handler: ResponseHandler) {
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
      if (desk.id !== id) {
        handler.onHead(421, {});
        handler.onEnd();
        return;
      }
      arrivals.push({ at: host.now(), vm, upstream: desk.id, path });
      running.add(call);
      if (host.isCrashing(path)) {
        setTimer(CRASH_MS, () => crash(desk.id, path));
        return;
      }
      setTimer(SERVICE_MS, () => {
        end();
        const limit = limits.get(desk.id);
        handler.onHead(200, limit === undefined ? {} : { limit: String(limit) });
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
      host.register(desk.id, undefined);
      limits.delete(desk.id);
      const [name, restarts = '0'] = desk.id.split('.');
      desk.id = `${name}.${Number(restarts) + 1}`;
      desk.startedAt += 1;
      down.delete(desk);
      host.register(desk.id, desk);
    });
  }

  /** Restarts a desk at once under the same id. */
  function restart(id: string): void {
    const desk = desks.find((candidate) => candidate.id === id)!;
    desk.startedAt += 1;
    limits.delete(id);
    host.register(id, desk);
  }

  return {
    tryGet,
    run,
    crash,
    restart,
    isDown: (address: string) => {
      const desk = tryGet(address);
      return desk !== undefined && down.has(desk);
    },
    registerAll: () => desks.forEach((desk) => host.register(desk.id, desk)),
    getIds: () => desks.map(({ id }) => id),
    setLimit: (id: string, perSecond: number | undefined) =>
      perSecond === undefined ? limits.delete(id) : limits.set(id, perSecond),
    arrivals,
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
    models: [],
  };
}
