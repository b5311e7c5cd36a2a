import { Agent, request } from 'undici';
import type ServiceClient from './ServiceClient';

const CONNECT_TIMEOUT_MS = 1000;
const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
 * Creates a client of plain HTTP services. It does not reuse connections, since an idle one may be
 * half-open.
 */
export default function createHttpServiceClient(): ServiceClient {
  const agent = new Agent({ connections: 64, pipelining: 0, connectTimeout: CONNECT_TIMEOUT_MS });
  return {
    call: async (address, serviceRequest) => {
      try {
        const response = await request(`http://${address}${serviceRequest.path}`, {
          method: serviceRequest.method,
          dispatcher: agent,
          headers: {
            'content-type': serviceRequest.contentType,
            'x-request-id': serviceRequest.id,
          },
          body: serviceRequest.body === '' ? undefined : serviceRequest.body,
          signal: AbortSignal.timeout(serviceRequest.timeoutMs),
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
