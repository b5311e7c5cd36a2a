interface ServerSentEvent {
  bytes: Buffer;
  id: number | undefined;
}

const LINE_FEED = 0x0a;
const ID_FIELD = /^id: ?(\d+)\r?$/m;

/** Splits a stream of server-sent events into complete events. */
export default function createEventSplitter() {
  let remainder: Buffer = Buffer.alloc(0);

  function splitChunk(chunk: Buffer): ServerSentEvent[] {
    remainder = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
    const events: ServerSentEvent[] = [];
    let eventStart = 0;
    let eventEnd = getEventEnd(remainder, eventStart);
    while (eventEnd !== undefined) {
      const bytes = remainder.subarray(eventStart, eventEnd);
      const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1];
      events.push({ bytes, id: id === undefined ? undefined : Number(id) });
      eventStart = eventEnd;
      eventEnd = getEventEnd(remainder, eventStart);
    }
    remainder = remainder.subarray(eventStart);
    return events;
  }

  return { splitChunk, getRemainder: () => remainder };
}

/** Returns the position after the blank line that ends the event starting at `eventStart`. */
function getEventEnd(bytes: Buffer, eventStart: number): number | undefined {
  let position = bytes.indexOf(LINE_FEED, eventStart);
  while (position >= 0 && position + 1 < bytes.length) {
    if (bytes[position + 1] === LINE_FEED) {
      return position + 2;
    }
    if (bytes[position + 1] === 0x0d && bytes[position + 2] === LINE_FEED) {
      return position + 3;
    }
    position = bytes.indexOf(LINE_FEED, position + 1);
  }
  return undefined;
}
