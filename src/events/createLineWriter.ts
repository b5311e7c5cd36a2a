import { write } from 'node:fs';

/** Lines beyond this number that wait for a slow reader are dropped and counted. */
const MAX_QUEUED_LINES = 2000;

/**
 * Creates a function that writes lines to a file descriptor without blocking the process. Lines
 * that cannot be written because the reader is slow or gone are dropped and reported to
 * `onDropped`.
 */
export default function createLineWriter(descriptor: number, onDropped: (count: number) => void) {
  let queuedLines: string[] = [];
  let isWriting = false;

  function writeLine(line: string): void {
    if (queuedLines.length >= MAX_QUEUED_LINES) {
      onDropped(1);
      return;
    }
    queuedLines.push(line);
    if (!isWriting) {
      isWriting = true;
      setImmediate(flush);
    }
  }

  function flush(): void {
    if (queuedLines.length === 0) {
      isWriting = false;
      return;
    }
    const lines = queuedLines;
    queuedLines = [];
    writeAll(Buffer.from(lines.join('')), 0, lines.length);
  }

  function writeAll(bytes: Buffer, offset: number, lines: number): void {
    write(descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (error && error.code !== 'EAGAIN') {
        onDropped(lines);
        flush();
      } else if (offset + (written ?? 0) < bytes.length) {
        writeAll(bytes, offset + (written ?? 0), lines);
      } else {
        flush();
      }
    });
  }

  return writeLine;
}
