import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type Result from '../shared/Result';
import createBoundedConnector from './createBoundedConnector';
import type EngineError from './EngineError';
import type EngineClient from './EngineClient';
import readResponseText from './readResponseText';
import rejectInvalidStatus from './rejectInvalidStatus';

const COMMAND_TIMEOUT_MS = 15_000;
const READ_TIMEOUT_MS = 2000;
const CONNECT_TIMEOUT_MS = 1000;
const MAX_LINE_CHARACTERS = 1_000_000;
const MAX_RESPONSE_BYTES = 1024 * 1024;
/** Bytes of a refusal that are read, of which some are logged. */
const MAX_REFUSAL_BYTES = 4096;
const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const STATUS_STALE = 409;
const STATUS_MISSING = 404;
const STATUS_FULL = 507;

const ModelList = z.object({ data: z.array(z.object({ id: z.string() })) });
const Report = z.object({
  age_ms: z.number(),
  leaving: z.boolean(),
  boot: z.string(),
  running: z.record(z.string(), z.number()),
});
const Chunk = z.object({
  id: z.string(),
  model: z.string(),
  offset: z.number().int().min(0),
  count: z.number().int().min(0).default(1),
  choices: z
    .array(
      z.object({
        text: z.string().optional(),
        delta: z.object({ content: z.string().optional() }).optional(),
        finish_reason: z.enum(['stop', 'length']).nullish(),
      }),
    )
    .min(1),
});

/** Creates a client of engines with the OpenAI-compatible API and LoRA load commands. */
export default function createHttpEngineClient(): EngineClient {
  const agent = new Agent({ connections: 256, connectTimeout: CONNECT_TIMEOUT_MS, pipelining: 1 });
  const commandAgent = new Agent({
    connections: 16,
    connect: createBoundedConnector({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    }),
  });

  async function sendRequest(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: number,
    body?: unknown,
    fence?: number,
  ): Promise<Result<unknown, EngineError>> {
    try {
      const response = await request(`http://${address}${path}`, {
        onInfo: rejectInvalidStatus,
        method,
        dispatcher: commandAgent,
        body: body === undefined ? undefined : JSON.stringify(body),
        headers: {
          'content-type': 'application/json',
          ...(fence === undefined ? {} : { 'x-fencing-number': String(fence) }),
        },
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await readResponseText(response.body);
      if (response.statusCode >= 300) {
        return { ok: false, error: getStatusError(response.statusCode, text) };
      }
      return { ok: true, value: text === '' ? undefined : JSON.parse(text) };
    } catch (error) {
      return { ok: false, error: getConnectionError(error) };
    }
  }

  const getAdapterNames: EngineClient['getAdapterNames'] = async (address) => {
    const result = await sendRequest(address, 'GET', '/v1/models', READ_TIMEOUT_MS);
    if (!result.ok) {
      return result;
    }
    const list = ModelList.safeParse(result.value);
    return list.success
      ? { ok: true, value: list.data.data.map(({ id }) => id).filter((id) => id.includes('@')) }
      : { ok: false, error: { kind: 'failed', reason: 'response of /v1/models is malformed' } };
  };

  const getReport: EngineClient['getReport'] = async (address) => {
    const result = await sendRequest(address, 'GET', '/v1/load', READ_TIMEOUT_MS);
    if (!result.ok) {
      return result;
    }
    const report = Report.safeParse(result.value);
    if (!report.success) {
      return { ok: false, error: { kind: 'failed', reason: 'response of /v1/load is malformed' } };
    }
    const { age_ms: ageMs, leaving, boot, running } = report.data;
    return { ok: true, value: { ageMs, leaving, boot, running } };
  };

  const load: EngineClient['load'] = async (address, { name, model, fence }) => {
    const body = { lora_name: name, lora_path: model };
    const result = await sendRequest(
      address,
      'POST',
      '/v1/load_lora_adapter',
      COMMAND_TIMEOUT_MS,
      body,
      fence,
    );
    return result.ok ? { ok: true, value: undefined } : result;
  };

  const unload: EngineClient['unload'] = async (address, { name, fence }) => {
    const body = { lora_name: name };
    const result = await sendRequest(
      address,
      'POST',
      '/v1/unload_lora_adapter',
      COMMAND_TIMEOUT_MS,
      body,
      fence,
    );
    return result.ok ? { ok: true, value: undefined } : result;
  };

  const stream: EngineClient['stream'] = (address, completion, onChunk, onEnd) => {
    const abort = new AbortController();
    let body: Dispatcher.ResponseData['body'] | undefined;
    let isEnded = false;
    const end = (error: EngineError | undefined) => {
      if (!isEnded) {
        isEnded = true;
        onEnd(error);
      }
    };
    const handleLine = (line: string) => {
      if (!line.startsWith('data:')) {
        return;
      }
      const data = line.slice('data:'.length).trim();
      if (data === '[DONE]' || data === '') {
        return;
      }
      const chunk = Chunk.safeParse(tryParseJson(data));
      if (!chunk.success) {
        end({ kind: 'failed', reason: 'completion stream contains a malformed chunk' });
        abort.abort();
        return;
      }
      const [choice] = chunk.data.choices;
      onChunk({
        id: chunk.data.id,
        model: chunk.data.model,
        offset: chunk.data.offset,
        count: chunk.data.count,
        text: choice.delta?.content ?? choice.text ?? '',
        finish: choice.finish_reason ?? undefined,
      });
    };
    const readStream = async () => {
      const response = await request(`http://${address}${completion.path}`, {
        onInfo: rejectInvalidStatus,
        method: 'POST',
        dispatcher: agent,
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: abort.signal,
        headers: { 'content-type': 'application/json', 'x-request-id': completion.id },
        body: JSON.stringify({
          ...completion.body,
          model: completion.name,
          stream: true,
          priority: completion.priority,
          resume: completion.resume,
        }),
      });
      if (response.statusCode >= 300) {
        end(getStatusError(response.statusCode, await readRefusal(response.body)));
        return;
      }
      ({ body } = response);
      body.setEncoding('utf8');
      let partialLine = '';
      body.on('data', (chunk: string) => {
        const lines = (partialLine + chunk).split('\n');
        partialLine = lines.pop()!;
        lines.forEach(handleLine);
        if (partialLine.length > MAX_LINE_CHARACTERS) {
          end({ kind: 'failed', reason: 'completion stream contains a line that is too long' });
          abort.abort();
        }
      });
      body.on('end', () => end(undefined));
      body.on('error', (error) => end(getConnectionError(error)));
    };
    readStream().catch((error) => end(getConnectionError(error)));
    return {
      cancel: () => {
        if (!isEnded) {
          isEnded = true;
          abort.abort();
          sendRequest(address, 'POST', '/v1/cancel', READ_TIMEOUT_MS, { id: completion.id });
        }
      },
      setPaused: (paused) => (paused ? body?.pause() : body?.resume()),
    };
  };

  return { getAdapterNames, getReport, load, unload, stream };
}

/** Reads the beginning of a body; the rest is not awaited. */
async function readRefusal(body: Dispatcher.ResponseData['body']): Promise<string> {
  let text = '';
  for await (const chunk of body) {
    text += String(chunk);
    if (text.length >= MAX_REFUSAL_BYTES) {
      break;
    }
  }
  return text;
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function getStatusError(status: number, text: string): EngineError {
  switch (status) {
    case STATUS_STALE:
      return { kind: 'stale' };
    case STATUS_MISSING:
      return { kind: 'missing' };
    case STATUS_FULL:
      return { kind: 'full' };
    default:
      return { kind: 'failed', reason: `status ${status}: ${text.slice(0, 200)}` };
  }
}

function getConnectionError(error: unknown): EngineError {
  const { code, message } = error as { code?: string; message: string };
  return CONNECT_FAILURES.has(code ?? '')
    ? { kind: 'notSent', reason: message }
    : { kind: 'lost', reason: message };
}
