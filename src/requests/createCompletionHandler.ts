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
import getRefusal from './getRefusal';

const DEFAULT_TOKENS = 128;
const MAX_BUFFERED_CHUNKS = 64;

const Body = z.looseObject({
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(1_000_000).optional(),
  messages: z.array(z.unknown()).optional(),
  prompt: z.string().optional(),
});

interface CompletionHost extends Clock {
  random(): number;
  /** Counts a request in progress; the answer ends it. */
  enter(): () => void;
  log(event: 'requestDone' | 'requestRefused', fields: Record<string, unknown>): void;
}

/** Handles chat and text completions, whole or streamed. */
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

  function resolve(
    context: Context<EntryContext>,
  ): Result<{ completion: Completion; isStreamed: boolean }, [RefusalName, string?]> {
    const json = tryParse(context.get('text'));
    if (json === undefined) {
      return { ok: false, error: ['badJson'] };
    }
    const body = Body.safeParse(json);
    if (!body.success) {
      const [issue] = body.error.issues;
      return { ok: false, error: ['badRequest', `${issue.path.join('.')}: ${issue.message}`] };
    }
    const [adapter, named] = body.data.model.split('@');
    const row = table.tryGetValue('adapters', adapter);
    if (!row) {
      return { ok: false, error: ['unknownAdapter', adapter] };
    }
    const client = context.get('client');
    if (client.team !== row.team) {
      return { ok: false, error: ['wrongTeam'] };
    }
    const version = resolveVersion(row, named, host.random());
    if (version === undefined) {
      return { ok: false, error: ['unknownVersion', named] };
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
      tokens: rest.max_tokens ?? DEFAULT_TOKENS,
      session: context.req.header('x-session-id'),
      startBy: context.get('receivedAt') + deadlineMs,
      path: options.path,
      body: rest,
    };
    return { ok: true, value: { completion, isStreamed } };
  }

  return async function handle(context: Context<EntryContext>): Promise<Response> {
    metrics.requests.inc({ kind: 'completion' });
    const resolved = resolve(context);
    if (!resolved.ok) {
      const [name, detail] = resolved.error;
      return getRefusal(name, 'no', 0, detail);
    }
    const { completion, isStreamed } = resolved.value;
    const leave = host.enter();
    return isStreamed ? stream(completion, leave) : answerWhole(completion, leave);
  };

  function answerWhole(completion: Completion, leave: () => void): Promise<Response> {
    return new Promise((resolvePromise) => {
      let text = '';
      const sink = {
        onText: (part: string) => {
          text += part;
        },
        onEnd: (finish: 'stop' | 'length', tokens: number) => {
          leave();
          noteDone(completion, tokens);
          resolvePromise(Response.json(getWholeAnswer(completion, text, finish, tokens)));
        },
        onError: (error: Parameters<Parameters<typeof completions.run>[1]['onError']>[0]) => {
          leave();
          host.log('requestRefused', { request: completion.id, reason: error.reason });
          resolvePromise(getRefusal(error.reason, error.ran, error.retryAfterMs, error.detail));
        },
      };
      completions.run(completion, sink);
    });
  }

  function noteDone(completion: Completion, tokens: number): void {
    metrics.answers.inc({ kind: 'completion' });
    const model = `${completion.adapter}@${completion.version}`;
    host.log('requestDone', { request: completion.id, model, tokens });
  }

  /** Answers once the first token or a refusal is here, so that a refusal keeps its status. */
  function stream(completion: Completion, leave: () => void): Promise<Response> {
    return new Promise((resolvePromise) => {
      const encoder = new TextEncoder();
      let cancel = () => {};
      let controller: ReadableStreamDefaultController<Uint8Array> | undefined;
      let sink: Parameters<typeof completions.run>[1];
      const open = () => {
        if (controller) {
          return;
        }
        const body = new ReadableStream<Uint8Array>(
          {
            start: (opened) => {
              controller = opened;
            },
            pull: () => sink.setPause?.(false),
            cancel: () => {
              leave();
              cancel();
            },
          },
          { highWaterMark: MAX_BUFFERED_CHUNKS },
        );
        const headers = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };
        resolvePromise(new Response(body, { headers }));
      };
      const write = (data: string) => {
        controller!.enqueue(encoder.encode(`data: ${data}\n\n`));
        if ((controller!.desiredSize ?? 1) <= 0) {
          sink.setPause?.(true);
        }
      };
      sink = {
        onText: (text) => {
          open();
          write(JSON.stringify(getChunk(completion, text, null)));
        },
        onEnd: (finish, tokens) => {
          open();
          leave();
          noteDone(completion, tokens);
          write(JSON.stringify(getChunk(completion, '', finish)));
          write('[DONE]');
          controller!.close();
        },
        onError: (error, tokens) => {
          leave();
          const { reason, ran, retryAfterMs, detail } = error;
          host.log('requestRefused', { request: completion.id, reason, tokens });
          const refusal = getRefusal(reason, ran, retryAfterMs, detail);
          if (!controller) {
            resolvePromise(refusal);
            return;
          }
          refusal.text().then((json) => {
            write(json);
            controller!.close();
          });
        },
      };
      cancel = completions.run(completion, sink);
    });
  }
}

function tryParse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function getDeadlineMs(context: Context<EntryContext>, byClass: number): number | undefined {
  const header = context.req.header('x-deadline-ms');
  if (header === undefined) {
    return byClass;
  }
  const value = Number(header);
  return Number.isFinite(value) && value > 0 ? value : undefined;
}

function getWholeAnswer(completion: Completion, text: string, finish: string, tokens: number) {
  const isChat = completion.path === '/v1/chat/completions';
  const choice = isChat ? { message: { role: 'assistant', content: text } } : { text };
  return {
    id: completion.id,
    object: isChat ? 'chat.completion' : 'text_completion',
    model: `${completion.adapter}@${completion.version}`,
    choices: [{ index: 0, ...choice, finish_reason: finish }],
    usage: { completion_tokens: tokens },
  };
}

function getChunk(completion: Completion, text: string, finish: string | null) {
  const isChat = completion.path === '/v1/chat/completions';
  const choice = isChat ? { delta: { content: text } } : { text };
  return {
    id: completion.id,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    model: `${completion.adapter}@${completion.version}`,
    choices: [{ index: 0, ...choice, finish_reason: finish }],
  };
}
