import { Agent, request } from 'undici';
import type ServiceClient from './ServiceClient';

const CONNECT_TIMEOUT_MS = 1000;
const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Client of plain HTTP services. A connection is never reused: a reused one may be half dead. */
export default function createHttpServiceClient(): ServiceClient {
  const agent = new Agent({ connections: 64, pipelining: 0, connectTimeout: CONNECT_TIMEOUT_MS });
  return {
    call: async (address, order) => {
      try {
        const response = await request(`http://${address}${order.path}`, {
          method: order.method,
          dispatcher: agent,
          headers: { 'content-type': order.contentType, 'x-request-id': order.id },
          body: order.body === '' ? undefined : order.body,
          signal: AbortSignal.timeout(order.timeoutMs),
        });
        const body = await response.body.text();
        const contentType = String(response.headers['content-type'] ?? 'text/plain');
        return { ok: true, value: { status: response.statusCode, contentType, body } };
      } catch (error) {
        const { code, message } = error as { code?: string; message: string };
        const kind = CONNECT_FAILURES.has(code ?? '') ? 'notSent' : 'lost';
        return { ok: false, error: { kind, reason: message } };
      }
    },
  };
}
