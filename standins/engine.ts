/**
 * Stand-in of a model engine: batched streaming, LoRA load and unload orders with optional fencing,
 * lagged load reports, cancel and resume. Faults set by `POST /fault`: `failLoads` (next loads),
 * `loadMs`, `muteAfter` (a stream goes silent at this token, once), `restart`, `leaving`.
 */
import http from 'node:http';
import readArguments from './readArguments';

const settings = readArguments({
  listen: '127.0.0.1:9001',
  slots: '8',
  'token-ms': '10',
  'extra-ms': '0.2',
  // 'at-once' gives the first token on arrival, so that a bench sees no step of the batch.
  'first-token': 'step',
  'load-ms': '250',
  'lag-ms': '500',
  'checks-fencing': 'false',
});
const [host, port] = settings.listen.split(':');
const slots = Number(settings.slots);
const tokenMs = Number(settings['token-ms']);
const extraMs = Number(settings['extra-ms']);
const lagMs = Number(settings['lag-ms']);
const checksFencing = settings['checks-fencing'] === 'true';
const faults = { failLoads: 0, loadMs: Number(settings['load-ms']), muteAfter: -1, leaving: false };

interface Run {
  id: string;
  name: string;
  isChat: boolean;
  offset: number;
  total: number;
  isMuted: boolean;
  response: http.ServerResponse;
}

let boot = String(Date.now());
let fence = 0;
const resident = new Set<string>();
const loading = new Set<string>();
const runs = new Set<Run>();
const violations: string[] = [];
let report = { sampledAt: Date.now(), running: {} as Record<string, number> };

function getText(id: string, offset: number): string {
  return ` ${id.slice(0, 4)}-${offset}`;
}

function step(): void {
  runs.forEach(stepRun);
  setTimeout(step, tokenMs + extraMs * Math.max(0, runs.size - 1));
}

function stepRun(run: Run): void {
  const isLast = run.offset + 1 >= run.total;
  const finish = isLast ? 'length' : null;
  const text = getText(run.id, run.offset);
  const choice = run.isChat ? { delta: { content: text } } : { text };
  const chunk = {
    id: run.id,
    model: run.name,
    offset: run.offset,
    choices: [{ index: 0, ...choice, finish_reason: finish }],
  };
  if (faults.muteAfter >= 0 && run.offset >= faults.muteAfter) {
    faults.muteAfter = -1;
    run.isMuted = true;
  }
  if (!run.isMuted) {
    run.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
  run.offset += 1;
  if (isLast) {
    runs.delete(run);
    if (!run.isMuted) {
      run.response.end('data: [DONE]\n\n');
    }
  }
}

function complete(
  body: Record<string, unknown>,
  path: string,
  response: http.ServerResponse,
): void {
  const name = String(body.model);
  if (name.includes('@') && !resident.has(name)) {
    response.writeHead(404).end('{"error":"no such model"}');
    return;
  }
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  const resume = body.resume as { offset: number } | undefined;
  const run: Run = {
    id: String(body.requestId),
    name,
    isChat: path === '/v1/chat/completions',
    offset: resume?.offset ?? 0,
    total: Number(body.max_tokens ?? 16),
    isMuted: false,
    response,
  };
  runs.forEach((other) => {
    if (other.id === run.id) {
      runs.delete(other);
    }
  });
  runs.add(run);
  response.on('close', () => runs.delete(run));
  if (settings['first-token'] === 'at-once') {
    stepRun(run);
  }
}

async function load(name: string): Promise<[number, string]> {
  if (resident.has(name)) {
    return [200, 'already loaded'];
  }
  if (resident.size + loading.size >= slots) {
    return [507, 'no free slot'];
  }
  loading.add(name);
  const startedBoot = boot;
  await new Promise((resolve) => {
    setTimeout(resolve, faults.loadMs);
  });
  loading.delete(name);
  if (faults.failLoads > 0 || boot !== startedBoot) {
    faults.failLoads = Math.max(0, faults.failLoads - 1);
    return [500, 'load failed'];
  }
  resident.add(name);
  return [200, 'loaded'];
}

function unload(name: string): [number, string] {
  if (!resident.delete(name)) {
    return [404, 'not loaded'];
  }
  runs.forEach((run) => {
    if (run.name === name) {
      violations.push(`unloaded ${name} while ${run.id} ran`);
      runs.delete(run);
      run.response.destroy();
    }
  });
  return [200, 'unloaded'];
}

function isStale(header: string | undefined): boolean {
  const given = Number(header ?? 0);
  if (checksFencing && given < fence) {
    return true;
  }
  fence = Math.max(fence, given);
  return false;
}

function restart(): void {
  boot = String(Date.now());
  resident.clear();
  loading.clear();
  runs.forEach((run) => run.response.destroy());
  runs.clear();
}

function sample(): void {
  const running: Record<string, number> = {};
  runs.forEach(({ name }) => {
    running[name] = (running[name] ?? 0) + 1;
  });
  report = { sampledAt: Date.now(), running };
}

const server = http.createServer(async (request, response) => {
  const parts: Buffer[] = [];

  for await (const chunk of request) {
    parts.push(chunk as Buffer);
  }
  const text = Buffer.concat(parts).toString('utf8');
  const body = (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
  const path = request.url ?? '';
  const reply = (status: number, value: unknown) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  };
  const staleHeader = request.headers['x-fencing-number'] as string | undefined;
  switch (path) {
    case '/v1/chat/completions':
    case '/v1/completions':
      complete({ ...body, requestId: request.headers['x-request-id'] ?? 'none' }, path, response);
      break;
    case '/v1/models':
      reply(200, { data: [...resident].map((id) => ({ id })) });
      break;
    case '/v1/load':
      reply(200, {
        age_ms: Date.now() - report.sampledAt,
        leaving: faults.leaving,
        boot,
        running: report.running,
      });
      break;
    case '/v1/load_lora_adapter': {
      const [status, message] = isStale(staleHeader)
        ? [409, 'stale']
        : await load(String(body.lora_name));
      reply(status, { message });
      break;
    }
    case '/v1/unload_lora_adapter': {
      const [status, message] = isStale(staleHeader)
        ? [409, 'stale']
        : unload(String(body.lora_name));
      reply(status, { message });
      break;
    }
    case '/v1/cancel':
      runs.forEach((run) => {
        if (run.id === body.id && run.response.destroyed) {
          runs.delete(run);
        }
      });
      reply(200, {});
      break;
    case '/fault':
      if (body.restart) {
        restart();
      }
      Object.assign(faults, body);
      reply(200, faults);
      break;
    case '/violations':
      reply(200, violations);
      break;
    default:
      reply(404, {});
  }
});
server.listen(Number(port), host);
setInterval(sample, lagMs);
step();
process.on('SIGTERM', () => process.exit(0));
