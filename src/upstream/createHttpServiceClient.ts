import type Result from '../shared/Result';
import createConnections from './createConnections';
import type ServiceClient from './ServiceClient';
import type ServiceError from './ServiceError';
import type ServiceResponse from './ServiceResponse';

const MAX_CONNECTIONS = 1024;
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Creates a client of plain HTTP services. It does not reuse connections, since an idle one may be
 * half-open.
 */
export default function createHttpServiceClient(): ServiceClient {
  const connections = createConnections(() => {});

  const call: ServiceClient['call'] = (address, request) =>
    new Promise<Result<ServiceResponse, ServiceError>>((resolve) => {
      const parts: Buffer[] = [];
      let bodyBytes = 0;
      let status = 0;
      let contentType = 'text/plain';
      const fail = (error: ServiceError) => {
        clearTimeout(timer);
        resolve({ ok: false, error });
      };
      const abort = (reason: string) => {
        controls?.abort();
        fail({ kind: 'lost', reason });
      };
      const timer = setTimeout(() => abort('no response within the timeout'), request.timeoutMs);
      const message = {
        method: request.method,
        path: request.path,
        headers: ['content-type', request.contentType, 'x-request-id', request.id],
        body: request.body === '' ? undefined : Buffer.from(request.body),
        isLast: true,
      };
      const controls = connections.send(address, message, MAX_CONNECTIONS, {
        onHead: (headStatus, headers) => {
          status = headStatus;
          contentType = String(headers['content-type'] ?? contentType);
        },
        onData: (chunk) => {
          bodyBytes += chunk.length;
          if (bodyBytes <= MAX_BODY_BYTES) {
            parts.push(chunk);
          } else {
            abort('response too large');
          }
        },
        onEnd: () => {
          clearTimeout(timer);
          const body = Buffer.concat(parts).toString();
          resolve({ ok: true, value: { status, contentType, body } });
        },
        onError: fail,
      });
      if (!controls) {
        fail({ kind: 'notSent', reason: 'all connections to the service are in use' });
      }
    });

  return { call };
}
