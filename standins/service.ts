/**
 * Stand-in for a plain service. It counts `POST` calls by body and all `GET` calls as `reads`;
 * `GET /ran` returns the counts. `POST /fault` sets faults: `loseAnswers` (number of next calls that
 * run but whose connection is closed without a response), `delayMs` (time that each call takes).
 */
import http from 'node:http';
import readArguments from './readArguments';

const { listen } = readArguments({ listen: '127.0.0.1:9100' });
const [host, port] = listen.split(':');
const runCounts: Record<string, number> = {};
const faults = { loseAnswers: 0, delayMs: 5 };

const server = http.createServer(async (request, response) => {
  const parts: Buffer[] = [];

  for await (const chunk of request) {
    parts.push(chunk as Buffer);
  }
  const text = Buffer.concat(parts).toString('utf8');
  const reply = (status: number, value: unknown) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  };
  if (request.url === '/ran') {
    reply(200, runCounts);
    return;
  }
  if (request.url === '/fault') {
    reply(200, Object.assign(faults, JSON.parse(text)));
    return;
  }
  const key = request.method === 'GET' ? 'reads' : text;
  runCounts[key] = (runCounts[key] ?? 0) + 1;
  await new Promise((resolve) => {
    setTimeout(resolve, faults.delayMs);
  });
  if (faults.loseAnswers > 0) {
    faults.loseAnswers -= 1;
    request.socket.destroy();
    return;
  }
  reply(200, { done: key, path: request.url, times: runCounts[key] });
});
server.listen(Number(port), host);
process.on('SIGTERM', () => process.exit(0));
