import { Agent, request } from 'undici';
import sign from '../../standins/platform/sign';
import type ExecutionRecord from '../../standins/platform/ExecutionRecord';
import type createPlatformTrial from './createPlatformTrial';

type Trial = ReturnType<typeof createPlatformTrial>;
type Kind = 'chat' | 'resume' | 'hold' | 'look';

/** What a caller has seen of one of its requests. Times are of the day, in milliseconds. */
interface Answer {
  id: string;
  kind: Kind;
  adapter: string;
  vm: string;
  sentAt: number;
  endedAt: number;
  /** 0: the connection ended without a whole answer. */
  status: number;
  signature: string;
  body: string;
}

const KINDS: readonly Kind[] = ['chat', 'chat', 'chat', 'resume', 'hold', 'look'];
const EVENTS = 8;
const DEADLINE_MS = 3000;
const RESOLVE_PAUSE_MS = 1000;
const VERSION_LAG_MS = 5000;
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Callers that ask a directory for addresses, send requests of all kinds, and judge the answers. */
export default function createCallers(
  trial: Trial,
  options: { name: string; random: () => number; adapters: number; pauseMs: number },
) {
  const agent = new Agent({ connections: 20, pipelining: 1 });
  const answers: Answer[] = [];
  const announced: { adapter: string; version: number; at: number }[] = [];
  let addresses: string[] = [];
  let isStopped = false;
  let count = 0;
  const pending = new Set<Promise<void>>();

  async function resolveAddresses(): Promise<void> {
    for (const vm of trial.vms) {
      try {
        const url = `http://${trial.getAddress(vm, 8083)}/api/resolve?Name=trial.example&Zone=x`;
        const answer = await request(url, { headersTimeout: 1000, dispatcher: agent });
        const { Addrs = [] } = (await answer.body.json()) as { Addrs?: string[] };
        if (Addrs.length > 0) {
          addresses = Addrs;
          return;
        }
      } catch {
        // The next directory is asked.
      }
    }
  }

  /** Sends requests until `stop`. */
  async function run(): Promise<void> {
    let resolvedAt = -Infinity;
    while (!isStopped) {
      if (Date.now() - resolvedAt > RESOLVE_PAUSE_MS) {
        resolvedAt = Date.now();
        await resolveAddresses();
      }
      if (addresses.length > 0) {
        const sent = sendOne().finally(() => pending.delete(sent));
        pending.add(sent);
      }
      await new Promise((resolve) => {
        setTimeout(resolve, options.pauseMs * 2 * options.random());
      });
    }
  }

  async function sendOne(): Promise<void> {
    const kind = KINDS[Math.floor(options.random() * KINDS.length)];
    // Some adapters are asked for often, most seldom.
    const adapter = `a${1 + Math.floor(options.random() ** 2 * options.adapters)}`;
    const vm = addresses[Math.floor(options.random() * addresses.length)];
    count += 1;
    await send(`${options.name}-${kind}-${count}`, kind, adapter, vm);
  }

  async function send(id: string, kind: Kind, adapter: string, vm: string): Promise<Answer> {
    const isStream = kind === 'chat' || kind === 'resume';
    const answer: Answer = {
      id,
      kind,
      adapter,
      vm,
      sentAt: Date.now(),
      endedAt: 0,
      status: 0,
      signature: '',
      body: '',
    };
    try {
      const response = await request(`http://${vm}/${kind}/x`, {
        method: kind === 'look' ? 'GET' : 'POST',
        headers: {
          host: 'trial.example',
          'request-id': id,
          'deadline-ms': String(DEADLINE_MS),
          ...(isStream && {
            model: `${trial.model}/${adapter}`,
            'token-count': '400,40',
            'prompt-prefix': `${adapter}:300,${id}:100`,
          }),
        },
        body: kind === 'look' ? undefined : `{"id":"${id}"}`,
        dispatcher: agent,
        signal: AbortSignal.timeout(DEADLINE_MS + 1000),
      });
      answer.signature = String(response.headers['response-signature'] ?? '');
      answer.body = await response.body.text();
      answer.status = response.statusCode;
    } catch {
      answer.status = 0;
    }
    answer.endedAt = Date.now();
    answers.push(answer);
    return answer;
  }

  async function stop(): Promise<void> {
    isStopped = true;
    await Promise.all([...pending]);
    await agent.destroy();
  }

  /** What was wrong, by the answers that callers had and the runs that servers saw. */
  function judge(ledger: ExecutionRecord): string[] {
    return answers.flatMap((answer) => {
      const runs = ledger.runs[answer.id] ?? [];
      const isStream = answer.kind === 'chat' || answer.kind === 'resume';
      const faults: string[] = [];
      const blame = (text: string) =>
        faults.push(`${answer.id} at ${answer.vm}, status ${answer.status}: ${text}`);
      if (runs.some(({ isOnce }) => isOnce) && runs.length > 1) {
        blame(`ran ${runs.length} times`);
      }
      if (NOT_RUN.has(answer.status) && runs.length > 0) {
        blame('ran though it was said not to have run');
      }
      if (isStream && runs.some(({ model }) => model !== answer.adapter)) {
        blame(`ran on ${runs.map(({ model }) => model).join()}, not ${answer.adapter}`);
      }
      announced
        .filter(({ adapter }) => isStream && adapter === answer.adapter)
        .forEach(({ version, at }) => {
          if (runs.some((begun) => begun.version < version && begun.at > at + VERSION_LAG_MS)) {
            blame(`began on a version older than ${version}`);
          }
        });
      if (answer.status === 404 || answer.status === 400) {
        blame('a proper request was turned away');
      }
      if (answer.status !== 200) {
        return faults;
      }
      if (!runs.some(({ server }) => sign(answer.id, server) === answer.signature)) {
        blame('no server that ran it has signed the answer');
      }
      const fault = isStream ? tryGetStreamFault(answer) : tryGetPlainFault(answer);
      if (fault !== undefined) {
        blame(fault);
      }
      return faults;
    });
  }

  return {
    run,
    send,
    stop,
    judge,
    noteVersion: (adapter: string, version: number) =>
      announced.push({ adapter, version, at: Date.now() }),
    getAnswers: () => answers,
  };
}

function tryGetStreamFault({ id, adapter, body }: Answer): string | undefined {
  const events = body
    .split('\n\n')
    .filter((text) => text.includes('data: '))
    .map(
      (text) =>
        JSON.parse(text.slice(text.indexOf('data: ') + 'data: '.length)) as {
          id: string;
          name: string;
          event: number;
        },
    );
  if (events.some((event) => event.id !== id || event.name !== adapter)) {
    return 'holds events of another request';
  }
  const numbers = events.map(({ event }) => event).join();
  const whole = Array.from({ length: EVENTS }, (_, index) => index + 1).join();
  return numbers === whole ? undefined : `events ${numbers}`;
}

function tryGetPlainFault({ id, body }: Answer): string | undefined {
  return body.startsWith(`{"id":"${id}",`) && body.endsWith('}') ? undefined : `body ${body}`;
}
