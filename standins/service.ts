/**
 * Stand-in of a plain service. `POST /holds` and other calls are counted by key; `GET /ran` tells
 * how often each ran. `POST /fault`: `loseAnswers` (next calls run, their answers are lost).
 */
import http from 'node:http';
import readArguments from './readArguments';

const { listen } = readArguments({ listen: '127.0.0.1:9100' });
const [host, port] = listen.split(':');
const ran: Record<string, number> = {};
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
    reply(200, ran);
    return;
  }
  if (request.url === '/fault') {
    reply(200, Object.assign(faults, JSON.parse(text)));
    return;
  }
  const subject = request.method === 'GET' ? 'reads' : text;
  ran[subject] = (ran[subject] ?? 0) + 1;
  await new Promise((resolve) => {
    setTimeout(resolve, faults.delayMs);
  });
  if (faults.loseAnswers > 0) {
    faults.loseAnswers -= 1;
    request.socket.destroy();
    return;
  }
  reply(200, { done: subject, path: request.url, times: ran[subject] });
});
server.listen(Number(port), host);
process.on('SIGTERM', () => process.exit(0));
