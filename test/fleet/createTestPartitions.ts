import type Clock from '../../src/shared/Clock';
import type ResponseHandler from '../../src/upstream/ResponseHandler';

const CONNECT_TIMEOUT_MS = 400;
const ROUND_TRIP_MS = 1;
/** Idle connections to each upstream that a VM has when it is partitioned. */
const KEPT_CONNECTIONS = 2;

/**
 * How the connections of a partitioned VM to upstreams fail: all `hang`; all are `reset` and new ones
 * refused; those that exist live on and new ones are `refused`.
 */
type PartitionMode = 'hang' | 'reset' | 'refused';

interface Controls {
  abort(): void;
  pause(): void;
  resume(): void;
}

interface Partition {
  mode: PartitionMode;
  /** Connections from before the partition that are left, by upstream. */
  kept: Map<string, number>;
}

/** Creates partitions of VMs from all upstreams; other links of these VMs are sound. */
export default function createTestPartitions(clock: Clock) {
  const partitions = new Map<string, Partition>();
  const open = new Map<string, Set<() => void>>();

  function partition(vm: string, mode: PartitionMode): void {
    partitions.set(vm, { mode, kept: new Map() });
    if (mode === 'reset') {
      open.get(vm)?.forEach((reset) => reset());
    }
  }

  /** Sends a request of a VM by `send`, unless a partition prevents it. */
  function connect(
    vm: string,
    upstream: string,
    handler: ResponseHandler,
    send: (guarded: ResponseHandler) => Controls,
  ): Controls {
    const known = partitions.get(vm);
    if (!known) {
      return sendGuarded(vm, handler, send);
    }
    const kept = known.kept.get(upstream) ?? KEPT_CONNECTIONS;
    if (known.mode !== 'reset' && kept > 0) {
      known.kept.set(upstream, kept - 1);
      const returnConnection = () => known.kept.set(upstream, known.kept.get(upstream)! + 1);
      return known.mode === 'hang'
        ? { abort: () => {}, pause: () => {}, resume: () => {} }
        : send({
            ...handler,
            onEnd: () => {
              returnConnection();
              handler.onEnd();
            },
          });
    }
    const isHanging = known.mode === 'hang';
    const cancel = clock.setTimer(isHanging ? CONNECT_TIMEOUT_MS : ROUND_TRIP_MS, () =>
      handler.onError({
        kind: 'notSent',
        reason: isHanging ? 'UND_ERR_CONNECT_TIMEOUT' : 'ECONNREFUSED',
      }),
    );
    return { abort: cancel, pause: () => {}, resume: () => {} };
  }

  /** Sends a request whose response is lost if a partition begins meanwhile. */
  function sendGuarded(
    vm: string,
    handler: ResponseHandler,
    send: (guarded: ResponseHandler) => Controls,
  ): Controls {
    const resets = open.get(vm) ?? new Set();
    open.set(vm, resets);
    const isLost = () => ['hang', 'reset'].includes(partitions.get(vm)?.mode ?? '');
    let isEnded = false;
    const reset = () => {
      if (!isEnded) {
        isEnded = true;
        resets.delete(reset);
        controls.abort();
        handler.onError({ kind: 'lost', reason: 'ECONNRESET' });
      }
    };
    const guard =
      <Values extends unknown[]>(callback: (...values: Values) => void, isLast = false) =>
      (...values: Values) => {
        if (isEnded || isLost()) {
          return;
        }
        if (isLast) {
          isEnded = true;
          resets.delete(reset);
        }
        callback(...values);
      };
    resets.add(reset);
    const controls = send({
      onHead: guard(handler.onHead),
      onData: guard(handler.onData),
      onEnd: guard(handler.onEnd, true),
      onError: guard(handler.onError, true),
    });
    return {
      ...controls,
      abort: () => {
        isEnded = true;
        resets.delete(reset);
        controls.abort();
      },
    };
  }

  /** Returns how a new connection of a VM ends; undefined if no partition prevents it. */
  async function tryProbe(vm: string): Promise<'refused' | 'silent' | undefined> {
    const known = partitions.get(vm);
    if (!known) {
      return undefined;
    }
    const isHanging = known.mode === 'hang';
    await new Promise<void>((resolve) => {
      clock.setTimer(isHanging ? CONNECT_TIMEOUT_MS : ROUND_TRIP_MS, resolve);
    });
    return isHanging ? 'silent' : 'refused';
  }

  return { partition, heal: (vm: string) => partitions.delete(vm), connect, tryProbe };
}
