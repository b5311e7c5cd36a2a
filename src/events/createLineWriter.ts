import { write } from 'node:fs';

/** Lines that wait for a reader; more are left out and counted. */
const MAX_WAITING = 2000;

/**
 * Writes lines to a descriptor without ever blocking the process: a reader that is slow or gone
 * costs lines, which are counted.
 */
export default function createLineWriter(descriptor: number, onDropped: (count: number) => void) {
  let waiting: string[] = [];
  let isWriting = false;

  function take(line: string): void {
    if (waiting.length >= MAX_WAITING) {
      onDropped(1);
      return;
    }
    waiting.push(line);
    if (!isWriting) {
      isWriting = true;
      setImmediate(flush);
    }
  }

  function flush(): void {
    if (waiting.length === 0) {
      isWriting = false;
      return;
    }
    const lines = waiting;
    waiting = [];
    writeAll(Buffer.from(lines.join('')), 0, lines.length);
  }

  function writeAll(bytes: Buffer, from: number, lines: number): void {
    write(descriptor, bytes, from, bytes.length - from, null, (error, written) => {
      if (error && error.code !== 'EAGAIN') {
        onDropped(lines);
        flush();
      } else if (from + (written ?? 0) < bytes.length) {
        writeAll(bytes, from + (written ?? 0), lines);
      } else {
        flush();
      }
    });
  }

  return take;
}
