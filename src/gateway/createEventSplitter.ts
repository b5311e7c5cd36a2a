interface Event {
  bytes: Buffer;
  id: number | undefined;
}

const LINE_END = 0x0a;
const ID_FIELD = /^id: ?(\d+)\r?$/m;

/** Splits a stream of server-sent events into whole events. */
export default function createEventSplitter() {
  let rest: Buffer = Buffer.alloc(0);

  function take(chunk: Buffer): Event[] {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    const events: Event[] = [];
    let from = 0;
    let end = getEventEnd(rest, from);
    while (end !== undefined) {
      const bytes = rest.subarray(from, end);
      const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1];
      events.push({ bytes, id: id === undefined ? undefined : Number(id) });
      from = end;
      end = getEventEnd(rest, from);
    }
    rest = rest.subarray(from);
    return events;
  }

  return { take, getRest: () => rest };
}

/** Position after the blank line that ends the event that begins at `from`. */
function getEventEnd(bytes: Buffer, from: number): number | undefined {
  let at = bytes.indexOf(LINE_END, from);
  while (at >= 0 && at + 1 < bytes.length) {
    if (bytes[at + 1] === LINE_END) {
      return at + 2;
    }
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === LINE_END) {
      return at + 3;
    }
    at = bytes.indexOf(LINE_END, at + 1);
  }
  return undefined;
}
