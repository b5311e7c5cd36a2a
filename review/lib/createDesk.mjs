import http from 'node:http';

/**
 * Creates a server of a plain service, which runs each request for `workMs` and answers with its
 * receipt. `onArrival` gets each request that names this server or none.
 */
export default function createDesk({ id, address, workMs, onArrival }) {
  const [host, port] = address.split(':');
  const server = http.createServer({ keepAliveTimeout: 60_000 }, async (request, response) => {
    const requestId = String(request.headers['request-id'] ?? '');
    request.resume();
    await new Promise((resolve) => {
      request.once('end', resolve);
    });
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'not-executed': '1', 'request-id': requestId });
      response.end();
      return;
    }
    onArrival(requestId);
    setTimeout(() => {
      response.writeHead(200, {
        'request-id': requestId,
        'response-signature': `${requestId}.${id}`,
      });
      response.end(JSON.stringify({ id: requestId, server: id }));
    }, workMs);
  });

  return {
    id,
    address,
    listen: () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, resolve);
      }),
    /** Ends as a process does: its channels and its port are closed. */
    exit: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
