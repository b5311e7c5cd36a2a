import { Agent, request } from 'undici';
import CRASHING_PART from '../../standins/platform/CRASHING_PART';
import CRASHING_PATH from '../../standins/platform/CRASHING_PATH';
import sign from '../../standins/platform/sign';
import type ExecutionRecord from '../../standins/platform/ExecutionRecord';
import type createPlatformTrial from './createPlatformTrial';

type Trial = ReturnType<typeof createPlatformTrial>;
type RequestKind = 'chat' | 'resume' | 'hold' | 'look';

/**
 * How a request crashes servers: by a part of its prompt, or as a whole, in the same form each time.
 */
type Crash = 'none' | 'part' | 'request';

/** Result of one request as its caller received it. Times are Unix times in milliseconds. */
interface RequestResult {
  id: string;
  kind: RequestKind;
  adapter: string;
  vm: string;
  crash: Crash;
  sentAt: number;
  endedAt: number;
  /** HTTP status; 0 if the connection ended before the complete response. */
  status: number;
  signature: string;
  /** For a stream that was taken up, with the events of its former attempts. */
  body: string;
  /** The attempt whose stream this one takes up. */
  former: RequestResult | undefined;
}

const KINDS: readonly RequestKind[] = ['chat', 'chat', 'chat', 'resume', 'hold', 'look'];
const EVENT_COUNT = 8;
const DEADLINE_MS = 3000;
const RESOLVE_INTERVAL_MS = 1000;
const MAX_VERSION_LAG_MS = 5000;
/** First parts of prompts; requests that crash servers share them with others. */
const FIRST_PARTS = ['0a1', '0a2', '0a3'];
/** Number of crashes, and time after them, from which only a few more requests may reach servers. */
const KNOWN_PART_CRASHES = 5;
const KNOWN_REQUEST_CRASHES = 3;
const KNOWN_AFTER_MS = 3000;
const MAX_LATE_ARRIVALS = 3;
/** More streams than this must not hold events of two software versions. */
const MAX_MIXED_STREAMS = 2;
const MAX_TAKE_UPS = 3;
const TAKE_UP_PAUSE_MS = 300;
const SUCCESS = 200;
const NOT_RUN = new Set([408, 421, 429, 503]);

/**
 * Creates callers that resolve addresses in a VM's directory, send requests of all kinds and check
 * the results.
 */
export default function createCallers(
  trial: Trial,
  options: {
    name: string;
    random: () => number;
    adapters: number;
    pauseMs: number;
    /** Whether all VMs get requests, and not only those that the directory lists (default: no). */
    sendsToAll?: boolean;
    /** Part of the `chat` requests whose prompt crashes model servers (default: none). */
    crashingShare?: number;
    /** Part of the `chat` and `look` requests that come again and crash servers (default: none). */
    crashingRequestShare?: number;
  },
) {
  const agent = new Agent({ connections: 20, pipelining: 1 });
  const results: RequestResult[] = [];
  const announced: { adapter: string; version: number; at: number }[] = [];
  let addresses: string[] = [];
  let isStopped = false;
  let count = 0;
  const takenUp = new Set<string>();
  const wentOn = new Set<string>();
  const pending = new Set<Promise<void>>();

  async function resolveAddresses(): Promise<void> {
    if (options.sendsToAll) {
      addresses = trial.vms.map((vm) => trial.getAddress(vm, 8080));
      return;
    }
    for (const vm of trial.vms) {
      try {
        const url = `http://${trial.getAddress(vm, 8083)}/api/resolve?Name=trial.example&Zone=x`;
        const response = await request(url, { headersTimeout: 1000, dispatcher: agent });
        const { Addrs = [] } = (await response.body.json()) as { Addrs?: string[] };
        if (Addrs.length > 0) {
          addresses = Addrs;
          return;
        }
      } catch {
        // The loop continues with the next VM's directory.
      }
    }
  }

  /** Sends requests until `stop` is called. */
  async function run(): Promise<void> {
    let resolvedAt = -Infinity;
    while (!isStopped) {
      if (Date.now() - resolvedAt > RESOLVE_INTERVAL_MS) {
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
    // A few adapters get most of the requests.
    const adapter = `a${1 + Math.floor(options.random() ** 2 * options.adapters)}`;
    const vm = addresses[Math.floor(options.random() * addresses.length)];
    count += 1;
    const id = `${options.name}-${kind}-${count}`;
    const result = await send(id, kind, adapter, vm, pickCrash(kind));
    if (kind === 'resume') {
      await takeUp(result);
    }
  }

  /** Takes up a stream that has broken off, a few times, by way of random VMs. */
  async function takeUp(broken: RequestResult): Promise<void> {
    let last = broken;
    for (let round = 1; round <= MAX_TAKE_UPS && last.status === 0; round += 1) {
      if (getEvents(last).length === 0) {
        return;
      }
      takenUp.add(broken.id);
      const next = await tryTakeUp(last, `${broken.id}-again-${round}`);
      if (next.status === SUCCESS) {
        wentOn.add(broken.id);
      }
      last = next.status === 0 ? next : last;
    }
  }

  async function tryTakeUp(former: RequestResult, id: string): Promise<RequestResult> {
    await new Promise((resolve) => {
      setTimeout(resolve, TAKE_UP_PAUSE_MS);
    });
    const vm = addresses[Math.floor(options.random() * addresses.length)];
    return send(id, 'resume', former.adapter, vm, 'none', former);
  }

  function pickCrash(kind: RequestKind): Crash {
    const isPicked = (share = 0) => share > 0 && options.random() < share;
    if (kind === 'chat' && isPicked(options.crashingShare)) {
      return 'part';
    }
    const isRepeated = kind === 'chat' || kind === 'look';
    return isRepeated && isPicked(options.crashingRequestShare) ? 'request' : 'none';
  }

  async function send(
    id: string,
    kind: RequestKind,
    adapter: string,
    vm: string,
    crash: Crash = 'none',
    former?: RequestResult,
  ): Promise<RequestResult> {
    const isStream = kind === 'chat' || kind === 'resume';
    const result: RequestResult = {
      id,
      kind,
      adapter,
      vm,
      crash,
      sentAt: Date.now(),
      endedAt: 0,
      status: 0,
      signature: '',
      body: former ? getEvents(former).join('') : '',
      former,
    };
    try {
      const response = await request(
        `http://${vm}/${kind}${crash === 'request' ? CRASHING_PATH : '/x'}`,
        {
          method: kind === 'look' ? 'GET' : 'POST',
          headers: {
            host: 'trial.example',
            'request-id': id,
            'deadline-ms': String(DEADLINE_MS),
            ...(isStream && {
              model: `${trial.model}/${adapter}`,
              'token-count': '400,40',
              'prompt-prefix': getPrompt(id, adapter, crash === 'part'),
            }),
            ...(former && {
              'last-event-id': String(getEvents(former).length),
              resumes: getChain(former)[0],
            }),
          },
          body: kind === 'look' ? undefined : `{"id":"${crash === 'request' ? '' : id}"}`,
          dispatcher: agent,
          signal: AbortSignal.timeout(DEADLINE_MS + 1000),
        },
      );
      result.signature = String(response.headers['response-signature'] ?? '');
      if (response.statusCode !== SUCCESS) {
        result.body = '';
      }
      for await (const chunk of response.body) {
        result.body += String(chunk);
      }
      result.status = response.statusCode;
    } catch {
      result.status = 0;
    }
    result.endedAt = Date.now();
    results.push(result);
    return result;
  }

  async function stop(): Promise<void> {
    isStopped = true;
    await Promise.all([...pending]);
    await agent.destroy();
  }

  /** Compares the callers' results with the servers' records and returns the violations. */
  function getViolations(record: ExecutionRecord): string[] {
    return results.flatMap((result) => {
      const runs = record.runs[result.id] ?? [];
      const isStream = result.kind === 'chat' || result.kind === 'resume';
      const violations: string[] = [];
      const addViolation = (text: string) =>
        violations.push(`${result.id} at ${result.vm}, status ${result.status}: ${text}`);
      if (runs.some(({ isOnce }) => isOnce) && runs.length > 1) {
        addViolation(`ran ${runs.length} times`);
      }
      if (NOT_RUN.has(result.status) && runs.length > 0) {
        addViolation('ran although the status says that it did not run');
      }
      if (isStream && runs.some(({ model }) => model !== result.adapter)) {
        addViolation(`ran on ${runs.map(({ model }) => model).join()}, not ${result.adapter}`);
      }
      announced
        .filter(({ adapter }) => isStream && adapter === result.adapter)
        .forEach(({ version, at }) => {
          if (
            runs.some(
              (execution) => execution.version < version && execution.at > at + MAX_VERSION_LAG_MS,
            )
          ) {
            addViolation(`began on a version older than ${version}`);
          }
        });
      if (result.body.includes('"blocked"') && result.crash === 'none') {
        addViolation('refused as a request that crashes servers');
      }
      if (result.status === 404 || result.status === 400) {
        addViolation('a valid request was refused as invalid');
      }
      if (result.status !== 200) {
        return violations;
      }
      if (!runs.some(({ server }) => sign(result.id, server) === result.signature)) {
        addViolation('the signature is of no server that ran the request');
      }
      const violation = isStream ? tryGetStreamViolation(result) : tryGetPlainViolation(result);
      if (violation !== undefined) {
        addViolation(violation);
      }
      return violations;
    });
  }

  /**
   * Returns the violations by requests that reached servers too often after it could be known that they
   * crash them; those sent by a VM that `isDisturbed` at the time do not count.
   */
  function getCrashViolations(
    record: ExecutionRecord,
    isDisturbed: (vm: string, at: number) => boolean = () => false,
  ): string[] {
    const vms = new Map(results.map(({ id, vm }) => [id, vm]));
    const causes = new Set(record.crashingArrivals.map(({ cause }) => cause));
    return [...causes].flatMap((cause) => {
      const knownCrashes = cause === 'part' ? KNOWN_PART_CRASHES : KNOWN_REQUEST_CRASHES;
      const known = record.crashes.filter((crash) => crash.cause === cause)[knownCrashes - 1];
      const late = record.crashingArrivals.filter(
        (arrival) =>
          arrival.cause === cause &&
          known !== undefined &&
          arrival.at > known.at + KNOWN_AFTER_MS &&
          !isDisturbed(vms.get(arrival.id) ?? '', arrival.at),
      );
      return late.length > MAX_LATE_ARRIVALS
        ? [`${late.length} requests (${cause}) reached servers after ${knownCrashes} crashes`]
        : [];
    });
  }

  /** Returns a violation if too many streams hold events of two software versions. */
  function getMixedViolations(): string[] {
    const mixed = results.filter(
      (result) =>
        result.kind === 'resume' && new Set(getEvents(result).map(readSoftwareVersion)).size > 1,
    );
    const streams = [...new Set(mixed.map((result) => getChain(result)[0]))];
    return streams.length > MAX_MIXED_STREAMS
      ? [`${streams.length} streams hold events of two software versions: ${streams.join()}`]
      : [];
  }

  return {
    run,
    send,
    getCrashViolations,
    getMixedViolations,
    /** Returns how many streams were taken up after they had broken off, and how many went on. */
    getTakenUp: () => ({ takenUp: takenUp.size, wentOn: wentOn.size }),
    stop,
    getViolations,
    recordVersion: (adapter: string, version: number) =>
      announced.push({ adapter, version, at: Date.now() }),
    getResults: () => results,
  };
}

function getPrompt(id: string, adapter: string, isCrashing: boolean): string {
  const first = FIRST_PARTS[id.length % FIRST_PARTS.length];
  return `${first}:200,${isCrashing ? CRASHING_PART : `c${adapter}`}:100,${id}:100`;
}

/** Returns the ids of an attempt and of the former ones of its stream, the first one first. */
function getChain({ id, former }: RequestResult): string[] {
  return former ? [...getChain(former), id] : [id];
}

/** Returns the complete events of a stream. */
function getEvents({ body }: RequestResult): string[] {
  return [...body.matchAll(/id: \d+\ndata: [^\n]*\n\n/g)].map(([text]) => text);
}

function readSoftwareVersion(event: string): string {
  return (JSON.parse(event.slice(event.indexOf('data: ') + 'data: '.length)) as { build: string })
    .build;
}

function tryGetStreamViolation(result: RequestResult): string | undefined {
  const { adapter, body } = result;
  const ids = getChain(result);
  if (!body.endsWith('\n\n')) {
    return 'is framed as complete and ends inside an event';
  }
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
  if (events.some((event) => !ids.includes(event.id) || event.name !== adapter)) {
    return 'contains events of another request';
  }
  const numbers = events.map(({ event }) => event).join();
  const expected = Array.from({ length: EVENT_COUNT }, (_, index) => index + 1).join();
  return numbers === expected ? undefined : `events ${numbers}`;
}

function tryGetPlainViolation({ id, body }: RequestResult): string | undefined {
  return body.startsWith(`{"id":"${id}",`) && body.endsWith('}') ? undefined : `body ${body}`;
}
