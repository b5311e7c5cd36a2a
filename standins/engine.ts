/**
 * Stand-in for a model engine: batched streaming, commands that load and unload LoRA adapters with
 * optional fencing, delayed load reports, cancel and resume. `POST /fault` sets faults: `failLoads`
 * (number of next loads that fail), `loadMs`, `muteAfter` (one stream stops sending at this token),
 * `restart`, `leaving`.
 */
import http from 'node:http';
import readArguments from './readArguments';

const settings = readArguments({
  listen: '127.0.0.1:9001',
  slots: '8',
  'token-ms': '10',
  'extra-ms': '0.2',
  // 'at-once' sends the first token on arrival, so that a benchmark doesn't measure a batch step.
  'first-token': 'step',
  'load-ms': '250',
  'lag-ms': '500',
  'checks-fencing': 'false',
});
const [host, port] = settings.listen.split(':');
const adapterSlots = Number(settings.slots);
const tokenMs = Number(settings['token-ms']);
const extraMs = Number(settings['extra-ms']);
const lagMs = Number(settings['lag-ms']);
const checksFencing = settings['checks-fencing'] === 'true';
const faults = { failLoads: 0, loadMs: Number(settings['load-ms']), muteAfter: -1, leaving: false };

interface Generation {
  id: string;
  name: string;
  isChat: boolean;
  offset: number;
  total: number;
  isSilenced: boolean;
  response: http.ServerResponse;
}

let bootId = String(Date.now());
let highestFencingNumber = 0;
const residentAdapters = new Set<string>();
const loadingAdapters = new Set<string>();
const generations = new Set<Generation>();
const violations: string[] = [];
let loadReport = { sampledAt: Date.now(), running: {} as Record<string, number> };

function getText(id: string, offset: number): string {
  return ` ${id.slice(0, 4)}-${offset}`;
}

function runBatchStep(): void {
  generations.forEach(emitToken);
  setTimeout(runBatchStep, tokenMs + extraMs * Math.max(0, generations.size - 1));
}

function emitToken(generation: Generation): void {
  const isLast = generation.offset + 1 >= generation.total;
  const finishReason = isLast ? 'length' : null;
  const text = getText(generation.id, generation.offset);
  const choice = generation.isChat ? { delta: { content: text } } : { text };
  const chunk = {
    id: generation.id,
    model: generation.name,
    offset: generation.offset,
    choices: [{ index: 0, ...choice, finish_reason: finishReason }],
  };
  if (faults.muteAfter >= 0 && generation.offset >= faults.muteAfter) {
    faults.muteAfter = -1;
    generation.isSilenced = true;
  }
  if (!generation.isSilenced) {
    generation.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
  generation.offset += 1;
  if (isLast) {
    generations.delete(generation);
    if (!generation.isSilenced) {
      generation.response.end('data: [DONE]\n\n');
    }
  }
}

function startCompletion(
  body: Record<string, unknown>,
  path: string,
  response: http.ServerResponse,
): void {
  const name = String(body.model);
  if (name.includes('@') && !residentAdapters.has(name)) {
    response.writeHead(404).end('{"error":"no such model"}');
    return;
  }
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  const resume = body.resume as { offset: number } | undefined;
  const generation: Generation = {
    id: String(body.requestId),
    name,
    isChat: path === '/v1/chat/completions',
    offset: resume?.offset ?? 0,
    total: Number(body.max_tokens ?? 16),
    isSilenced: false,
    response,
  };
  generations.forEach((other) => {
    if (other.id === generation.id) {
      generations.delete(other);
    }
  });
  generations.add(generation);
  response.on('close', () => generations.delete(generation));
  if (settings['first-token'] === 'at-once') {
    emitToken(generation);
  }
}

async function loadAdapter(name: string): Promise<[number, string]> {
  if (residentAdapters.has(name)) {
    return [200, 'already loaded'];
  }
  if (residentAdapters.size + loadingAdapters.size >= adapterSlots) {
    return [507, 'no free slot'];
  }
  loadingAdapters.add(name);
  const bootIdAtStart = bootId;
  await new Promise((resolve) => {
    setTimeout(resolve, faults.loadMs);
  });
  loadingAdapters.delete(name);
  if (faults.failLoads > 0 || bootId !== bootIdAtStart) {
    faults.failLoads = Math.max(0, faults.failLoads - 1);
    return [500, 'load failed'];
  }
  residentAdapters.add(name);
  return [200, 'loaded'];
}

function unloadAdapter(name: string): [number, string] {
  if (!residentAdapters.delete(name)) {
    return [404, 'not loaded'];
  }
  generations.forEach((generation) => {
    if (generation.name === name) {
      violations.push(`unloaded ${name} while ${generation.id} ran`);
      generations.delete(generation);
      generation.response.destroy();
    }
  });
  return [200, 'unloaded'];
}

function isStale(header: string | undefined): boolean {
  const fencingNumber = Number(header ?? 0);
  if (checksFencing && fencingNumber < highestFencingNumber) {
    return true;
  }
  highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
  return false;
}

function restart(): void {
  bootId = String(Date.now());
  residentAdapters.clear();
  loadingAdapters.clear();
  generations.forEach((generation) => generation.response.destroy());
  generations.clear();
}

function sampleLoad(): void {
  const running: Record<string, number> = {};
  generations.forEach(({ name }) => {
    running[name] = (running[name] ?? 0) + 1;
  });
  loadReport = { sampledAt: Date.now(), running };
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
  const fencingHeader = request.headers['x-fencing-number'] as string | undefined;
  switch (path) {
    case '/v1/chat/completions':
    case '/v1/completions':
      startCompletion(
        { ...body, requestId: request.headers['x-request-id'] ?? 'none' },
        path,
        response,
      );
      break;
    case '/v1/models':
      reply(200, { data: [...residentAdapters].map((id) => ({ id })) });
      break;
    case '/v1/load':
      reply(200, {
        age_ms: Date.now() - loadReport.sampledAt,
        leaving: faults.leaving,
        boot: bootId,
        running: loadReport.running,
      });
      break;
    case '/v1/load_lora_adapter': {
      const [status, message] = isStale(fencingHeader)
        ? [409, 'stale']
        : await loadAdapter(String(body.lora_name));
      reply(status, { message });
      break;
    }
    case '/v1/unload_lora_adapter': {
      const [status, message] = isStale(fencingHeader)
        ? [409, 'stale']
        : unloadAdapter(String(body.lora_name));
      reply(status, { message });
      break;
    }
    case '/v1/cancel':
      generations.forEach((generation) => {
        if (generation.id === body.id && generation.response.destroyed) {
          generations.delete(generation);
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
setInterval(sampleLoad, lagMs);
runBatchStep();
process.on('SIGTERM', () => process.exit(0));
