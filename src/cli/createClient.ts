import { Agent, request } from 'undici';
import type Client from './Client';

const CALL_TIMEOUT_MS = 30_000;

/** Creates a client that tries the entry VMs in turn until one answers. */
export default function createClient(urls: string[], secret: string | undefined): Client {
  const agent = new Agent({ connectTimeout: 2000, pipelining: 0 });
  return {
    call: async (method, path, body, headers = {}) => {
      const faults: string[] = [];

      for (const url of urls) {
        try {
          const response = await request(`${url}${path}`, {
            method,
            dispatcher: agent,
            body: body === undefined ? undefined : JSON.stringify(body),
            headers: {
              'content-type': 'application/json',
              ...(secret === undefined ? {} : { authorization: `Bearer ${secret}` }),
              ...headers,
            },
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
          });
          const text = await response.body.text();
          const answer = text === '' ? undefined : (JSON.parse(text) as unknown);
          const { statusCode: status } = response;
          if (status >= 400) {
            const { error } = answer as {
              error?: { code: string; reason: string; detail?: unknown };
            };
            const detail = error?.detail === undefined ? '' : ` ${JSON.stringify(error.detail)}`;
            return {
              ok: false,
              error: `${error?.code ?? status}: ${error?.reason ?? ''}${detail}`,
            };
          }
          const etag = response.headers.etag as string | undefined;
          return { ok: true, value: { status, etag, body: answer } };
        } catch (error) {
          faults.push(`${url}: ${(error as Error).message}`);
          if (method !== 'GET') {
            break;
          }
        }
      }
      return { ok: false, error: `no entry VM answered (${faults.join('; ')})` };
    },
  };
}
