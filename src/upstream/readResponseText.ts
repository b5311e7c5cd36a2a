import type { Dispatcher } from 'undici';

/**
 * Reads the body of a response as text. Iteration joins chunks that arrive together; `body.text()` keeps
 * each by itself, so that a body in very small chunks takes many times its size in memory.
 */
export default async function readResponseText(
  body: Dispatcher.ResponseData['body'],
): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of body as AsyncIterable<Buffer>) {
    parts.push(part);
  }
  return Buffer.concat(parts).toString();
}
