import { Agent, request } from 'undici';
import type Client from './Client';

const CALL_TIMEOUT_MS = 30_000;

/**
 * Creates a client that sends a GET request to one entry VM after the other until one responds. Any
 * other request is sent to the first one only, as it may be executed even without a response.
 */
export default function createClient(urls: string[], token: string | undefined): Client {
  const agent = new Agent({ connectTimeout: 2000, pipelining: 0 });
  return {
    call: async (method, path, body, headers = {}) => {
      const failures: string[] = [];

      for (const url of urls) {
        try {
          const response = await request(`${url}${path}`, {
            method,
            dispatcher: agent,
            body: body === undefined ? undefined : JSON.stringify(body),
            headers: {
              'content-type': 'application/json',
              ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
              ...headers,
            },
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
          });
          const text = await response.body.text();
          const responseBody = text === '' ? undefined : (JSON.parse(text) as unknown);
          const { statusCode: status } = response;
          if (status >= 400) {
            const { error } = responseBody as {
              error?: { code: string; reason: string; detail?: unknown };
            };
            const detail = error?.detail === undefined ? '' : ` ${JSON.stringify(error.detail)}`;
            return {
              ok: false,
              error: `${error?.code ?? status}: ${error?.reason ?? ''}${detail}`,
            };
          }
          const etag = response.headers.etag as string | undefined;
          return { ok: true, value: { status, etag, body: responseBody } };
        } catch (error) {
          failures.push(`${url}: ${(error as Error).message}`);
          if (method !== 'GET') {
            break;
          }
        }
      }
      return { ok: false, error: `no entry VM responded (${failures.join('; ')})` };
    },
  };
}
