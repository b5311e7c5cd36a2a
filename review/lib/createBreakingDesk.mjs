import http from 'node:http';

/**
 * Creates a server of a plain service, which answers with its receipt. `PUT` is answered with 204, and so
 * without a body. Of the other answers, `getEnding` says how they end: `length` (with a length), `close`
 * (whole, without a length, and the channel is closed after it) or `reset` (without a length, and the
 * channel is reset after a part of the body).
 */
export default function createBreakingDesk(options) {
  const { id, address, workMs, getEnding, onAnswer } = options;
  const [host, port] = address.split(':');

  function answer(request, response, requestId) {
    const receipt = `${requestId}.${id}`;
    const body = JSON.stringify({ id: requestId, server: id, text: 'x'.repeat(700) });
    const { socket } = request;
    if (request.method === 'PUT') {
      onAnswer(requestId, { status: 204, body: '', ending: 'length' });
      response.writeHead(204, { 'request-id': requestId, 'response-signature': receipt });
      response.end();
      return;
    }
    const ending = getEnding();
    onAnswer(requestId, { status: 200, body, ending });
    if (ending === 'length') {
      response.writeHead(200, {
        'request-id': requestId,
        'response-signature': receipt,
        'content-length': body.length,
      });
      response.end(body);
      return;
    }
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: ${receipt}\r\n\r\n`;
    if (ending === 'close') {
      socket.end(`${head}${body}`);
      return;
    }
    socket.write(`${head}${body.slice(0, body.length / 2)}`, () => socket.resetAndDestroy());
  }

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
    setTimeout(() => answer(request, response, requestId), workMs);
  });

  return {
    listen: () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, resolve);
      }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
