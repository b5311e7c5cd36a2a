import { request } from 'undici';

const POLL_MS = 50;
/** Within this time one ordinary request must be answered; no response time is checked. */
const ANSWER_LIMIT_MS = 12_000;
const ATTEMPT_LIMIT_MS = 3000;

/** Polls until an ordinary request is answered with 200; throws after a generous time. */
export default async function pollAnswer(
  url: string,
  headers: Record<string, string>,
): Promise<void> {
  const startedAt = Date.now();
  let status: unknown;
  while (status !== 200) {
    if (Date.now() - startedAt > ANSWER_LIMIT_MS) {
      throw new Error(`no answer of ${url}, last: ${String(status)}`);
    }
    status = await send(url, headers).catch((error: Error) => error.message);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}

async function send(url: string, headers: Record<string, string>): Promise<number> {
  const response = await request(url, {
    headers: { ...headers, 'request-id': `ordinary-${Date.now()}` },
    signal: AbortSignal.timeout(ATTEMPT_LIMIT_MS),
    reset: true,
  });
  await response.body.dump();
  return response.statusCode;
}
