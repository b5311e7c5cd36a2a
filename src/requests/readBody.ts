import type Result from '../shared/Result';
import type Clock from '../shared/Clock';

/** Reads the body of a web request as text, within the limits of size and time. */
export default async function readBody(
  clock: Clock,
  request: Request,
  limits: { maxBytes: number; timeoutMs: number },
): Promise<Result<string, 'oversize' | 'slowBody'>> {
  if (!request.body) {
    return { ok: true, value: '' };
  }
  const reader = request.body.getReader();
  let isSlow = false;
  const cancelTimer = clock.setTimer(limits.timeoutMs, () => {
    isSlow = true;
    reader.cancel().catch(() => {});
  });
  const chunks: Uint8Array[] = [];
  let size = 0;
  let chunk = await reader.read();
  while (!chunk.done && size <= limits.maxBytes) {
    chunks.push(chunk.value);
    size += chunk.value.length;
    chunk = await reader.read();
  }
  cancelTimer();
  if (isSlow) {
    return { ok: false, error: 'slowBody' };
  }
  if (size > limits.maxBytes) {
    reader.cancel().catch(() => {});
    return { ok: false, error: 'oversize' };
  }
  return { ok: true, value: Buffer.concat(chunks).toString('utf8') };
}
