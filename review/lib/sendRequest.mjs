import http from 'node:http';

/** Sends one client attempt on a kept channel; resolves with its status, or with why it failed. */
export default function sendRequest(agent, address, { method, path, headers, body = '' }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const request = http.request(
      { agent, host, port: Number(port), method, path, headers, timeout: 20_000 },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            receipt: response.headers['response-signature'],
            retryAfter: response.headers['retry-after'],
            body: Buffer.concat(chunks).toString(),
          }),
        );
        response.on('error', (error) => resolve({ failure: error.code ?? error.message }));
      },
    );
    request.on('timeout', () => request.destroy(new Error('time limit')));
    request.on('error', (error) => resolve({ failure: error.code ?? error.message }));
    request.end(body);
  });
}
