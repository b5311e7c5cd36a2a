import parseEngineAdapterName from '../../src/owners/parseEngineAdapterName';
import type CompletionChunk from '../../src/upstream/CompletionChunk';
import type EngineError from '../../src/upstream/EngineError';
import type EngineClient from '../../src/upstream/EngineClient';
import type Gate from './Gate';
import type VirtualTime from './VirtualTime';

const TOKEN_MS = 20;
const LOAD_MS = 250;
const HOP_MS = 1;
const REPORT_LAG_MS = 500;

interface Run {
  id: string;
  name: string;
  emit(chunk: CompletionChunk): void;
  end(error: EngineError | undefined): void;
  isOpen: boolean;
}

/** A fake of one engine with its faults. It notes what the product must never do to it. */
export default function createFakeEngine(
  time: VirtualTime,
  options: { slots: number; checksFencing: boolean; onLoad(now: number): void },
) {
  const faults = {
    failLoads: 0,
    loadMs: LOAD_MS,
    isFrozen: false,
    isLeaving: false,
    muteAtToken: -1,
    nextStream: undefined as 'reorder' | 'foreign' | 'repeat' | undefined,
  };
  const resident = new Set<string>();
  const loading = new Set<string>();
  const runs = new Set<Run>();
  const ran = new Set<string>();
  const violations: string[] = [];
  let boot = 1;
  let highestFence = 0;
  let startsWhileLeaving = 0;
  let sample: { at: number; running: Record<string, number> } = { at: time.now(), running: {} };

  function takeSample(): void {
    const running: Record<string, number> = {};
    runs.forEach(({ name }) => {
      running[name] = (running[name] ?? 0) + 1;
    });
    sample = { at: time.now(), running };
    time.setTimer(REPORT_LAG_MS, takeSample);
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
    options.onLoad(time.now());
    const startedBoot = boot;
    time.setTimer(faults.loadMs, () => {
      loading.delete(name);
      if (faults.failLoads > 0 || boot !== startedBoot) {
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
    runs.forEach((run) => {
      if (run.name === name) {
        violations.push(`evicted ${name} in service of ${run.id}`);
        close(run, { kind: 'lost', reason: 'unloaded' });
      }
    });
    return undefined;
  }

  function close(run: Run, error: EngineError | undefined): void {
    runs.delete(run);
    if (run.isOpen) {
      Object.assign(run, { isOpen: false });
      run.end(error);
    }
  }

  function start(run: Run, offset: number, total: number): void {
    if (!resident.has(run.name)) {
      run.end({ kind: 'missing' });
      return;
    }
    startsWhileLeaving += faults.isLeaving ? 1 : 0;
    runs.add(run);
    const fault = faults.nextStream;
    faults.nextStream = undefined;
    stepRun(run, offset, total, fault, []);
  }

  /** Emits one token after the other; a fault mixes the order, repeats or lends another's chunk. */
  function stepRun(
    run: Run,
    offset: number,
    total: number,
    fault: typeof faults.nextStream,
    held: CompletionChunk[],
  ): void {
    time.setTimer(TOKEN_MS, () => {
      if (!run.isOpen) {
        return;
      }
      if (faults.isFrozen || (faults.muteAtToken >= 0 && offset >= faults.muteAtToken)) {
        faults.muteAtToken = faults.isFrozen ? faults.muteAtToken : -1;
        return;
      }
      ran.add(run.id);
      const chunk = getChunk(run, offset, total);
      if (fault === 'foreign' && offset === 1) {
        run.emit({ ...chunk, id: 'another-request', text: 'FOREIGN ' });
        run.emit({ ...chunk, model: 'other@v1#1', text: 'FOREIGN ' });
      }
      if (fault === 'repeat' && offset > 0) {
        run.emit(getChunk(run, offset - 1, total));
      }
      if (fault === 'reorder' && offset % 2 === 0 && offset + 1 < total) {
        stepRun(run, offset + 1, total, fault, [chunk]);
        return;
      }
      run.emit(chunk);
      held.forEach((late) => run.emit(late));
      if (offset + 1 < total) {
        stepRun(run, offset + 1, total, fault, []);
      } else {
        close(run, undefined);
      }
    });
  }

  function getChunk(run: Run, offset: number, total: number): CompletionChunk {
    return {
      id: run.id,
      model: run.name,
      offset,
      count: 1,
      text: `${parseEngineAdapterName(run.name).model}:${offset} `,
      finish: offset + 1 === total ? 'length' : undefined,
    };
  }

  /** The engine as one VM meets it. */
  function createView(gate: Gate): Pick<EngineClient, 'stream'> & {
    getNames(): ReturnType<EngineClient['getAdapterNames']>;
    getReport(): ReturnType<EngineClient['getReport']>;
    load(name: string, fence: number): ReturnType<EngineClient['load']>;
    unload(name: string, fence: number): ReturnType<EngineClient['unload']>;
  } {
    const order = <Value>(effect: (end: (error: EngineError | undefined) => void) => Value) =>
      new Promise<{ ok: true; value: undefined } | { ok: false; error: EngineError }>((resolve) => {
        const end = (error: EngineError | undefined) =>
          time.setTimer(HOP_MS, () =>
            gate.pass(() => resolve(error ? { ok: false, error } : { ok: true, value: undefined })),
          );
        time.setTimer(HOP_MS, () => {
          if (faults.isFrozen) {
            time.setTimer(2000, () => end({ kind: 'lost', reason: 'timeout' }));
          } else {
            effect(end);
          }
        });
      });
    return {
      getNames: async () => {
        const answer = await order((end) => end(undefined));
        return answer.ok ? { ok: true, value: [...resident] } : answer;
      },
      getReport: async () => {
        const answer = await order((end) => end(undefined));
        const { at, running } = sample;
        return answer.ok
          ? {
              ok: true,
              value: {
                ageMs: time.now() - at,
                leaving: faults.isLeaving,
                boot: String(boot),
                running,
              },
            }
          : answer;
      },
      load: (name, fence) => order((end) => load(name, fence, end)),
      unload: (name, fence) => order((end) => end(unload(name, fence))),
      stream: (_address, wanted, onChunk, onEnd) => {
        const run: Run = {
          id: wanted.id,
          name: wanted.name,
          emit: (chunk) => time.setTimer(HOP_MS, () => gate.pass(() => onChunk(chunk))),
          end: (error) => time.setTimer(HOP_MS, () => gate.pass(() => onEnd(error))),
          isOpen: true,
        };
        time.setTimer(HOP_MS, () => {
          if (run.isOpen && !gate.isDead() && !faults.isFrozen) {
            const total = Number(wanted.body.max_tokens ?? 8);
            start(run, wanted.resume?.offset ?? 0, total);
          }
        });
        return {
          cancel: () => {
            time.setTimer(HOP_MS, () => {
              run.isOpen = false;
              runs.delete(run);
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
    runs.forEach((run) => close(run, { kind: 'lost', reason: 'restart' }));
  }

  return {
    createView,
    faults,
    restart,
    violations,
    hasRun: (id: string) => ran.has(id),
    getResident: () => [...resident],
    getStartsWhileLeaving: () => startsWhileLeaving,
    /** Ends the streams of a VM whose connections were closed. */
    closeStreams: (ids: Set<string>) =>
      runs.forEach((run) => {
        if (ids.has(run.id)) {
          Object.assign(run, { isOpen: false });
          runs.delete(run);
        }
      }),
  };
}
