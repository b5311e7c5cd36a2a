import type { Context } from 'hono';
import { z } from 'zod';
import type createCompletions from '../completions/createCompletions';
import type Completion from '../completions/Completion';
import type Metrics from '../metrics/Metrics';
import getPoolName from '../owners/getPoolName';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type AdapterRow from '../table/AdapterRow';
import resolveVersion from '../table/resolveVersion';
import type Table from '../table/Table';
import type RefusalName from '../messages/RefusalName';
import type EntryContext from './EntryContext';
import createRefusalResponse from './createRefusalResponse';

const DEFAULT_EXPECTED_TOKENS = 128;
const MAX_BUFFERED_CHUNKS = 64;

const CompletionBody = z.looseObject({
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(1_000_000).optional(),
  messages: z.array(z.unknown()).optional(),
  prompt: z.string().optional(),
});

interface CompletionHost extends Clock {
  random(): number;
  /** Counts a request as in flight. The returned function ends it. */
  beginRequest(): () => void;
  log(event: 'requestDone' | 'requestRefused', fields: Record<string, unknown>): void;
}

/** Creates a handler of chat or text completions, with one JSON response or an event stream. */
export default function createCompletionHandler(
  host: CompletionHost,
  parts: {
    table: Table;
    completions: ReturnType<typeof createCompletions>;
    metrics: Metrics;
  },
  options: { path: Completion['path']; deadlinesMs: Record<AdapterRow['class'], number> },
) {
  const { table, completions, metrics } = parts;

  /** Validates a request and resolves its adapter and version against the table. */
  function resolveRequest(
    context: Context<EntryContext>,
  ): Result<{ completion: Completion; isStreamed: boolean }, [RefusalName, string?]> {
    const json = tryParseJson(context.get('text'));
    if (json === undefined) {
      return { ok: false, error: ['badJson'] };
    }
    const body = CompletionBody.safeParse(json);
    if (!body.success) {
      const [issue] = body.error.issues;
      return { ok: false, error: ['badRequest', `${issue.path.join('.')}: ${issue.message}`] };
    }
    const [adapter, requestedVersion] = body.data.model.split('@');
    const row = table.tryGetValue('adapters', adapter);
    if (!row) {
      return { ok: false, error: ['unknownAdapter', adapter] };
    }
    const client = context.get('client');
    if (client.team !== row.team) {
      return { ok: false, error: ['wrongTeam'] };
    }
    const version = resolveVersion(row, requestedVersion, host.random());
    if (version === undefined) {
      return { ok: false, error: ['unknownVersion', requestedVersion] };
    }
    const deadlineMs = getDeadlineMs(context, options.deadlinesMs[row.class]);
    if (deadlineMs === undefined) {
      return { ok: false, error: ['badRequest', 'x-deadline-ms: expected a positive number'] };
    }
    const { stream: isStreamed, ...rest } = body.data;
    const completion: Completion = {
      id: context.get('requestId'),
      adapter,
      version,
      pool: getPoolName(row.baseModel),
      team: row.team,
      class: row.class,
      priority: row.priority,
      weight: row.weight,
      tokens: rest.max_tokens ?? DEFAULT_EXPECTED_TOKENS,
      session: context.req.header('x-session-id'),
      startBy: context.get('receivedAt') + deadlineMs,
      path: options.path,
      body: rest,
    };
    return { ok: true, value: { completion, isStreamed } };
  }

  return async function handle(context: Context<EntryContext>): Promise<Response> {
    metrics.requests.inc({ kind: 'completion' });
    const resolved = resolveRequest(context);
    if (!resolved.ok) {
      const [name, detail] = resolved.error;
      return createRefusalResponse(name, 'no', 0, detail);
    }
    const { completion, isStreamed } = resolved.value;
    const endRequest = host.beginRequest();
    return isStreamed
      ? respondStreamed(completion, endRequest)
      : respondUnstreamed(completion, endRequest);
  };

  function respondUnstreamed(completion: Completion, endRequest: () => void): Promise<Response> {
    return new Promise((resolvePromise) => {
      let text = '';
      const sink = {
        onText: (addedText: string) => {
          text += addedText;
        },
        onEnd: (finishReason: 'stop' | 'length', tokens: number) => {
          endRequest();
          recordDone(completion, tokens);
          resolvePromise(Response.json(getUnstreamedBody(completion, text, finishReason, tokens)));
        },
        onError: (error: Parameters<Parameters<typeof completions.run>[1]['onError']>[0]) => {
          endRequest();
          host.log('requestRefused', { request: completion.id, reason: error.reason });
          resolvePromise(
            createRefusalResponse(error.reason, error.ran, error.retryAfterMs, error.detail),
          );
        },
      };
      completions.run(completion, sink);
    });
  }

  function recordDone(completion: Completion, tokens: number): void {
    metrics.answers.inc({ kind: 'completion' });
    const model = `${completion.adapter}@${completion.version}`;
    host.log('requestDone', { request: completion.id, model, tokens });
  }

  /**
   * Resolves once the first text, the end or an error arrives, so that a refusal before any text is
   * returned with its own HTTP status. A later refusal is sent as an event of the stream.
   */
  function respondStreamed(completion: Completion, endRequest: () => void): Promise<Response> {
    return new Promise((resolvePromise) => {
      const encoder = new TextEncoder();
      let cancelCompletion = () => {};
      let controller: ReadableStreamDefaultController<Uint8Array> | undefined;
      let sink: Parameters<typeof completions.run>[1];
      const openStream = () => {
        if (controller) {
          return;
        }
        const body = new ReadableStream<Uint8Array>(
          {
            start: (streamController) => {
              controller = streamController;
            },
            pull: () => sink.setPause?.(false),
            cancel: () => {
              endRequest();
              cancelCompletion();
            },
          },
          { highWaterMark: MAX_BUFFERED_CHUNKS },
        );
        const headers = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };
        resolvePromise(new Response(body, { headers }));
      };
      const writeEvent = (data: string) => {
        controller!.enqueue(encoder.encode(`data: ${data}\n\n`));
        if ((controller!.desiredSize ?? 1) <= 0) {
          sink.setPause?.(true);
        }
      };
      sink = {
        onText: (text) => {
          openStream();
          writeEvent(JSON.stringify(getChunkBody(completion, text, null)));
        },
        onEnd: (finishReason, tokens) => {
          openStream();
          endRequest();
          recordDone(completion, tokens);
          writeEvent(JSON.stringify(getChunkBody(completion, '', finishReason)));
          writeEvent('[DONE]');
          controller!.close();
        },
        onError: (error, tokens) => {
          endRequest();
          const { reason, ran, retryAfterMs, detail } = error;
          host.log('requestRefused', { request: completion.id, reason, tokens });
          const refusal = createRefusalResponse(reason, ran, retryAfterMs, detail);
          if (!controller) {
            resolvePromise(refusal);
            return;
          }
          refusal.text().then((json) => {
            writeEvent(json);
            controller!.close();
          });
        },
      };
      cancelCompletion = completions.run(completion, sink);
    });
  }
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Returns the deadline of the header, or the default, or undefined if the header is not valid. */
function getDeadlineMs(context: Context<EntryContext>, defaultMs: number): number | undefined {
  const header = context.req.header('x-deadline-ms');
  if (header === undefined) {
    return defaultMs;
  }
  const value = Number(header);
  return Number.isFinite(value) && value > 0 ? value : undefined;
}

function getUnstreamedBody(
  completion: Completion,
  text: string,
  finishReason: string,
  tokens: number,
) {
  const isChat = completion.path === '/v1/chat/completions';
  const choice = isChat ? { message: { role: 'assistant', content: text } } : { text };
  return {
    id: completion.id,
    object: isChat ? 'chat.completion' : 'text_completion',
    model: `${completion.adapter}@${completion.version}`,
    choices: [{ index: 0, ...choice, finish_reason: finishReason }],
    usage: { completion_tokens: tokens },
  };
}

function getChunkBody(completion: Completion, text: string, finishReason: string | null) {
  const isChat = completion.path === '/v1/chat/completions';
  const choice = isChat ? { delta: { content: text } } : { text };
  return {
    id: completion.id,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    model: `${completion.adapter}@${completion.version}`,
    choices: [{ index: 0, ...choice, finish_reason: finishReason }],
  };
}
