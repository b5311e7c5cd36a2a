interface ServerSentEvent {
  bytes: Buffer;
  id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(\d+)\r?$/m;
/** Blank lines and complete comment lines, which belong to no event. */
const NO_EVENT = /^(?:[\r\n]|:[^\r\n]*[\r\n])*$/;

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

  return {
    splitChunk,
    getRemainder: () => remainder,
    /** Returns whether the bytes after the last complete event begin another one. */
    isInsideEvent: () => !NO_EVENT.test(remainder.toString('latin1')),
  };
}

/**
 * Returns the position after the blank line that ends the event starting at `eventStart`. Lines end
 * with LF, CR or CRLF; blank lines before the event are part of it.
 */
function getEventEnd(bytes: Buffer, eventStart: number): number | undefined {
  let lineStart = eventStart;
  let hasLine = false;
  for (let position = eventStart; position < bytes.length; position += 1) {
    const byte = bytes[position];
    if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
      const isBlank = position === lineStart;
      if (byte === CARRIAGE_RETURN && bytes[position + 1] === LINE_FEED) {
        position += 1;
      }
      lineStart = position + 1;
      if (isBlank && hasLine) {
        return lineStart;
      }
      hasLine ||= !isBlank;
    }
  }
  return undefined;
}
