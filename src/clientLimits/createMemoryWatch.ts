const MB = 1024 * 1024;
const CHECK_INTERVAL_MS = 100;
/** Share of the machine's memory from which buffers that are no longer used are freed early. */
const COLLECT_SHARE = 0.7;
/** V8 collects only after buffers have grown by 64 MB, a third of the memory of a small VM. */
const MIN_UNUSED_BYTES = 8 * MB;
/** A collection takes some 20 ms of a heap of 60 MB; at most a tenth of the time goes into them. */
const MIN_PAUSE_MS = 300;

interface MemoryWatchHost {
  now(): number;
  setTimer(delayMs: number, callback: () => void): () => void;
  getResidentBytes(): number;
  /** Returns the bytes of all buffers, used or not yet collected. */
  getBufferBytes(): number;
  /** Returns the bytes that are held for clients. */
  getHeldBytes(): number;
  collect(): void;
}

/**
 * Frees unused buffers when the process comes near its machine's memory. It handles many large
 * bodies and responses in a short time, whose buffers V8 would collect later than the machine allows.
 */
export default function createMemoryWatch(host: MemoryWatchHost, options: { ramMb: number }) {
  let collectedAt = -Infinity;

  function check(now: number): void {
    const isDue =
      now - collectedAt >= MIN_PAUSE_MS &&
      host.getResidentBytes() > options.ramMb * MB * COLLECT_SHARE &&
      host.getBufferBytes() - host.getHeldBytes() > MIN_UNUSED_BYTES;
    if (isDue) {
      host.collect();
      collectedAt = host.now();
    }
  }

  function run(): void {
    check(host.now());
    host.setTimer(CHECK_INTERVAL_MS, run);
  }

  return { check, run };
}
