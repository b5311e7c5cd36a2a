import parseEngineAdapterName from '../../src/owners/parseEngineAdapterName';
import type CompletionChunk from '../../src/upstream/CompletionChunk';
import type EngineError from '../../src/upstream/EngineError';
import type EngineClient from '../../src/upstream/EngineClient';
import type VmExecutor from './VmExecutor';
import type VirtualClock from './VirtualClock';

const TOKEN_INTERVAL_MS = 20;
const DEFAULT_LOAD_MS = 250;
const NETWORK_DELAY_MS = 1;
const REPORT_INTERVAL_MS = 500;

interface ActiveStream {
  id: string;
  adapterName: string;
  emit(chunk: CompletionChunk): void;
  end(error: EngineError | undefined): void;
  isOpen: boolean;
}

/**
 * Creates a fake engine with injectable faults. Records in `violations` each unload of an adapter
 * that a request is using, which the software under test must never order.
 */
export default function createFakeEngine(
  clock: VirtualClock,
  options: { slots: number; checksFencing: boolean; onLoad(now: number): void },
) {
  const faults = {
    failLoads: 0,
    loadMs: DEFAULT_LOAD_MS,
    isFrozen: false,
    isLeaving: false,
    muteAtToken: -1,
    nextStreamFault: undefined as 'reorder' | 'foreign' | 'repeat' | undefined,
  };
  const resident = new Set<string>();
  const loading = new Set<string>();
  const activeStreams = new Set<ActiveStream>();
  const ranRequestIds = new Set<string>();
  const violations: string[] = [];
  let boot = 1;
  let highestFence = 0;
  let startsWhileLeaving = 0;
  let sample: { at: number; running: Record<string, number> } = { at: clock.now(), running: {} };

  function takeSample(): void {
    const running: Record<string, number> = {};
    activeStreams.forEach(({ adapterName }) => {
      running[adapterName] = (running[adapterName] ?? 0) + 1;
    });
    sample = { at: clock.now(), running };
    clock.setTimer(REPORT_INTERVAL_MS, takeSample);
  }
  takeSample();

  function isStale(fence: number): boolean {
    if (options.checksFencing && fence < highestFence) {
      return true;
    }
    highestFence = Math.max(highestFence, fence);
    return false;
  }

  function load(name: string, fence: number, end: (error: EngineError | undefined) => void): void {
    if (isStale(fence)) {
      end({ kind: 'stale' });
      return;
    }
    if (resident.has(name)) {
      end(undefined);
      return;
    }
    if (resident.size + loading.size >= options.slots) {
      end({ kind: 'full' });
      return;
    }
    loading.add(name);
    options.onLoad(clock.now());
    const bootAtStart = boot;
    clock.setTimer(faults.loadMs, () => {
      loading.delete(name);
      if (faults.failLoads > 0 || boot !== bootAtStart) {
        faults.failLoads = Math.max(0, faults.failLoads - 1);
        end({ kind: 'failed', reason: 'fault' });
      } else {
        resident.add(name);
        end(undefined);
      }
    });
  }

  function unload(name: string, fence: number): EngineError | undefined {
    if (isStale(fence)) {
      return { kind: 'stale' };
    }
    if (!resident.delete(name)) {
      return { kind: 'missing' };
    }
    activeStreams.forEach((stream) => {
      if (stream.adapterName === name) {
        violations.push(`evicted ${name} in service of ${stream.id}`);
        closeStream(stream, { kind: 'lost', reason: 'unloaded' });
      }
    });
    return undefined;
  }

  function closeStream(stream: ActiveStream, error: EngineError | undefined): void {
    activeStreams.delete(stream);
    if (stream.isOpen) {
      Object.assign(stream, { isOpen: false });
      stream.end(error);
    }
  }

  function startStream(stream: ActiveStream, offset: number, tokenCount: number): void {
    if (!resident.has(stream.adapterName)) {
      stream.end({ kind: 'missing' });
      return;
    }
    startsWhileLeaving += faults.isLeaving ? 1 : 0;
    activeStreams.add(stream);
    const fault = faults.nextStreamFault;
    faults.nextStreamFault = undefined;
    scheduleToken(stream, offset, tokenCount, fault, []);
  }

  /**
   * Emits one token per interval. The fault `reorder` swaps pairs of chunks, `repeat` sends each
   * previous chunk again and `foreign` adds chunks with another request id or model.
   */
  function scheduleToken(
    stream: ActiveStream,
    offset: number,
    tokenCount: number,
    fault: typeof faults.nextStreamFault,
    delayedChunks: CompletionChunk[],
  ): void {
    clock.setTimer(TOKEN_INTERVAL_MS, () => {
      if (!stream.isOpen) {
        return;
      }
      if (faults.isFrozen || (faults.muteAtToken >= 0 && offset >= faults.muteAtToken)) {
        faults.muteAtToken = faults.isFrozen ? faults.muteAtToken : -1;
        return;
      }
      ranRequestIds.add(stream.id);
      const chunk = createChunk(stream, offset, tokenCount);
      if (fault === 'foreign' && offset === 1) {
        stream.emit({ ...chunk, id: 'another-request', text: 'FOREIGN ' });
        stream.emit({ ...chunk, model: 'other@v1#1', text: 'FOREIGN ' });
      }
      if (fault === 'repeat' && offset > 0) {
        stream.emit(createChunk(stream, offset - 1, tokenCount));
      }
      if (fault === 'reorder' && offset % 2 === 0 && offset + 1 < tokenCount) {
        scheduleToken(stream, offset + 1, tokenCount, fault, [chunk]);
        return;
      }
      stream.emit(chunk);
      delayedChunks.forEach((delayedChunk) => stream.emit(delayedChunk));
      if (offset + 1 < tokenCount) {
        scheduleToken(stream, offset + 1, tokenCount, fault, []);
      } else {
        closeStream(stream, undefined);
      }
    });
  }

  function createChunk(stream: ActiveStream, offset: number, tokenCount: number): CompletionChunk {
    return {
      id: stream.id,
      model: stream.adapterName,
      offset,
      count: 1,
      text: `${parseEngineAdapterName(stream.adapterName).model}:${offset} `,
      finish: offset + 1 === tokenCount ? 'length' : undefined,
    };
  }

  /** Creates the client through which one VM calls this engine. */
  function createEngineClient(executor: VmExecutor): Pick<EngineClient, 'stream'> & {
    getAdapterNames(): ReturnType<EngineClient['getAdapterNames']>;
    getReport(): ReturnType<EngineClient['getReport']>;
    load(name: string, fence: number): ReturnType<EngineClient['load']>;
    unload(name: string, fence: number): ReturnType<EngineClient['unload']>;
  } {
    const sendRequest = <Value>(handle: (end: (error: EngineError | undefined) => void) => Value) =>
      new Promise<{ ok: true; value: undefined } | { ok: false; error: EngineError }>((resolve) => {
        const end = (error: EngineError | undefined) =>
          clock.setTimer(NETWORK_DELAY_MS, () =>
            executor.run(() =>
              resolve(error ? { ok: false, error } : { ok: true, value: undefined }),
            ),
          );
        clock.setTimer(NETWORK_DELAY_MS, () => {
          if (faults.isFrozen) {
            clock.setTimer(2000, () => end({ kind: 'lost', reason: 'timeout' }));
          } else {
            handle(end);
          }
        });
      });
    return {
      getAdapterNames: async () => {
        const result = await sendRequest((end) => end(undefined));
        return result.ok ? { ok: true, value: [...resident] } : result;
      },
      getReport: async () => {
        const result = await sendRequest((end) => end(undefined));
        const { at, running } = sample;
        return result.ok
          ? {
              ok: true,
              value: {
                ageMs: clock.now() - at,
                leaving: faults.isLeaving,
                boot: String(boot),
                running,
              },
            }
          : result;
      },
      load: (name, fence) => sendRequest((end) => load(name, fence, end)),
      unload: (name, fence) => sendRequest((end) => end(unload(name, fence))),
      stream: (_address, request, onChunk, onEnd) => {
        const stream: ActiveStream = {
          id: request.id,
          adapterName: request.name,
          emit: (chunk) =>
            clock.setTimer(NETWORK_DELAY_MS, () => executor.run(() => onChunk(chunk))),
          end: (error) => clock.setTimer(NETWORK_DELAY_MS, () => executor.run(() => onEnd(error))),
          isOpen: true,
        };
        clock.setTimer(NETWORK_DELAY_MS, () => {
          if (stream.isOpen && !executor.isDead() && !faults.isFrozen) {
            const tokenCount = Number(request.body.max_tokens ?? 8);
            startStream(stream, request.resume?.offset ?? 0, tokenCount);
          }
        });
        return {
          cancel: () => {
            clock.setTimer(NETWORK_DELAY_MS, () => {
              stream.isOpen = false;
              activeStreams.delete(stream);
            });
          },
          setPaused: () => {},
        };
      },
    };
  }

  function restart(): void {
    boot += 1;
    resident.clear();
    loading.clear();
    activeStreams.forEach((stream) => closeStream(stream, { kind: 'lost', reason: 'restart' }));
  }

  return {
    createEngineClient,
    faults,
    restart,
    violations,
    hasRun: (id: string) => ranRequestIds.has(id),
    getResidentAdapters: () => [...resident],
    getStartsWhileLeaving: () => startsWhileLeaving,
    /** Removes the streams with the given request ids, as when a VM closes its connections. */
    closeStreams: (ids: Set<string>) =>
      activeStreams.forEach((stream) => {
        if (ids.has(stream.id)) {
          Object.assign(stream, { isOpen: false });
          activeStreams.delete(stream);
        }
      }),
  };
}
