/**
 * Joins the parts of a body that are parsed in one go, and passes them on after that or at `flush`. A
 * body in very small chunks otherwise takes many times its size in memory, and a call for each chunk.
 * `onFailure` gets what `onPart` throws, unless it was called by `flush`.
 */
export default function createPartCollector(
  onPart: (part: Buffer) => void,
  onFailure: (error: Error) => void,
) {
  let parts: Buffer[] = [];

  function flush(): void {
    const joined = parts.length === 1 ? parts[0] : Buffer.concat(parts);
    parts = [];
    if (joined.length > 0) {
      onPart(joined);
    }
  }

  function flushLater(): void {
    queueMicrotask(() => {
      try {
        flush();
      } catch (error) {
        onFailure(error as Error);
      }
    });
  }

  return {
    add: (part: Buffer) => {
      parts.push(part);
      if (parts.length === 1) {
        flushLater();
      }
    },
    flush,
  };
}
