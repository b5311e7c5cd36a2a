import type Result from '../shared/Result';

interface Answer {
  status: number;
  etag: string | undefined;
  body: unknown;
}

/** Calls entry VMs; the error tells the reason of a refusal or failure. */
interface Client {
  call(
    method: 'GET' | 'PUT' | 'PATCH' | 'DELETE',
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ): Promise<Result<Answer, string>>;
}

export default Client;
