import type Result from '../shared/Result';

interface Response {
  status: number;
  etag: string | undefined;
  body: unknown;
}

/**
 * Sends requests to entry VMs. The error of a call is the code and reason of a refusal, or the
 * connection errors.
 */
interface Client {
  call(
    method: 'GET' | 'PUT' | 'PATCH' | 'DELETE',
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ): Promise<Result<Response, string>>;
}

export default Client;
