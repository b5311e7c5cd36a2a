import type Log from '../events/Log';
import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type KeyValueEntry from '../keyValue/KeyValueEntry';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import createRepeater from '../shared/createRepeater';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type RequestError from '../completions/RequestError';
import type ServiceResponse from '../upstream/ServiceResponse';
import type ServiceError from '../upstream/ServiceError';
import CallRecord from './CallRecord';
import createWriteBatcher from './createWriteBatcher';

const CALL_PREFIX = '/baobablink/calls/';
const MAX_BATCH = 64;
const MAX_CALLS_IN_FLIGHT = 2;
const READ_TRIES = 3;
const READ_PAUSE_MS = 200;
const INQUIRY_TIMEOUT_MS = 500;
const SETTLE_PAUSE_MS = 1000;
const IN_PROGRESS_RETRY_MS = 1000;
const OUTAGE_RETRY_MS = 5000;
const SWEEP_PAUSE_MS = 600_000;
const SWEEP_PAGE_RECORDS = 500;
const SWEEP_DELETES_PER_CALL = 60;

interface CallsHost extends Clock {
  keyValue: KeyValue;
  send(to: string, message: Message): boolean;
  getNonce(): string;
  /** The time of day in milliseconds, by which records are kept across VMs. */
  getTimeOfDay(): number;
  /** Whether this VM is the one that removes old records. */
  isSweeper(): boolean;
  log: Log;
}

interface Call {
  team: string;
  key: string;
  fingerprint: string;
  /** Runs the call. It is called at most once, and only after the claim is certain. */
  send(): Promise<Result<ServiceResponse, ServiceError>>;
}

type CallOutcome = Result<ServiceResponse, RequestError>;

/** Where this VM stands with one of its own claims. */
type Standing = 'claiming' | 'abandoned' | 'sent' | 'settled';

/**
 * Runs non-idempotent calls at most once. A claim by team and key is written to the platform before
 * a byte leaves; the outcome is kept there, so that a repeat gets the first answer. A claim whose
 * call was never sent is released; an unknown outcome is said to be unknown.
 */
export default function createCalls(
  host: CallsHost,
  options: { address: string; keptSeconds: number; maxBatch?: number },
) {
  const write = createWriteBatcher(host.keyValue, {
    maxBatch: options.maxBatch ?? MAX_BATCH,
    maxCallsInFlight: MAX_CALLS_IN_FLIGHT,
  });
  const standings = new Map<string, Standing>();
  const inquiries = new Map<string, (status: 'neverSent' | 'maybeSent') => void>();
  let stopSweeping = () => {};
  let unsettled = 0;

  async function run(call: Call): Promise<CallOutcome> {
    const key = `${CALL_PREFIX}${call.team}/${call.key}`;
    const nonce = host.getNonce();
    standings.set(nonce, 'claiming');
    const outcome = await claimAndSend(call, key, nonce, 0);
    if (standings.get(nonce) !== 'sent') {
      standings.set(nonce, 'abandoned');
    }
    forgetLater(nonce);
    return outcome;
  }

  function forgetLater(nonce: string): void {
    host.setTimer(options.keptSeconds * 1000, () => standings.delete(nonce));
  }

  async function claimAndSend(
    call: Call,
    key: string,
    nonce: string,
    ifRevision: number,
  ): Promise<CallOutcome> {
    const record: CallRecord = {
      nonce,
      by: options.address,
      at: host.getTimeOfDay(),
      fingerprint: call.fingerprint,
      state: { kind: 'claimed' },
    };
    const put = { kind: 'put', key, value: JSON.stringify(record) } as const;
    const answer = await write({
      compare: [{ key, modRevision: ifRevision }],
      writes: [put],
      readOnFailure: [key],
    });
    if (answer.ok && answer.value.succeeded) {
      return sendClaimed(call, key, record, answer.value.revision);
    }
    if (answer.ok) {
      const [entry] = answer.value.read;
      return entry
        ? answerByRecord(call, key, nonce, JSON.parse(entry.value), entry.modRevision)
        : getOutage();
    }
    return answer.error.kind === 'unknown' ? findOutClaim(call, key, record) : getOutage();
  }

  /** After a lost answer: the nonce tells whether the claim is ours. */
  async function findOutClaim(call: Call, key: string, record: CallRecord): Promise<CallOutcome> {
    for (let tries = 0; tries < READ_TRIES; tries += 1) {
      const answer = await host.keyValue.range({ key });
      const entry = answer.ok ? answer.value.entries[0] : undefined;
      if (entry) {
        const found = CallRecord.parse(JSON.parse(entry.value));
        return found.nonce === record.nonce
          ? sendClaimed(call, key, found, entry.modRevision)
          : answerByRecord(call, key, record.nonce, found, entry.modRevision);
      }
      await new Promise<void>((resolve) => {
        host.setTimer(READ_PAUSE_MS, resolve);
      });
    }
    // The write may still take effect; it is undone as soon as the platform answers.
    releaseUntilDone(key, record.nonce);
    return getOutage();
  }

  async function sendClaimed(
    call: Call,
    key: string,
    record: CallRecord,
    revision: number,
  ): Promise<CallOutcome> {
    if (standings.get(record.nonce) !== 'claiming') {
      return getInProgress();
    }
    standings.set(record.nonce, 'sent');
    host.log('callClaimed', { key });
    const answer = await call.send();
    if (answer.ok) {
      settle(key, revision, { ...record, state: { kind: 'done', answer: answer.value } });
      return answer;
    }
    if (answer.error.kind === 'notSent') {
      standings.set(record.nonce, 'abandoned');
      releaseUntilDone(key, record.nonce);
      const error = { reason: 'upstreamFailed', ran: 'no', retryAfterMs: 1000 } as const;
      return { ok: false, error };
    }
    settle(key, revision, { ...record, state: { kind: 'unknown' } });
    host.log('callUnknown', { key });
    return getUnknown();
  }

  async function answerByRecord(
    call: Call,
    key: string,
    nonce: string,
    input: unknown,
    revision: number,
  ): Promise<CallOutcome> {
    const record = CallRecord.parse(input);
    if (record.nonce === nonce) {
      return sendClaimed(call, key, record, revision);
    }
    if (record.fingerprint !== call.fingerprint) {
      return {
        ok: false,
        error: { reason: 'keyReused', ran: 'unknown', retryAfterMs: 0 },
      };
    }
    if (record.state.kind === 'done') {
      return { ok: true, value: record.state.answer };
    }
    if (record.state.kind === 'unknown') {
      return getUnknown();
    }
    const status = await inquire(key, record);
    if (status === 'neverSent') {
      return claimAndSend(call, key, nonce, revision);
    }
    return status === 'maybeSent' ? getInProgress() : getUnknown();
  }

  /** Asks the VM that claimed a call whether it has sent it. */
  async function inquire(
    key: string,
    record: CallRecord,
  ): Promise<'neverSent' | 'maybeSent' | undefined> {
    const { nonce } = record;
    if (record.by === options.address) {
      return pledge(nonce);
    }
    return new Promise((resolve) => {
      const end = (status: 'neverSent' | 'maybeSent' | undefined) => {
        cancel();
        inquiries.delete(nonce);
        resolve(status);
      };
      const cancel = host.setTimer(INQUIRY_TIMEOUT_MS, () => end(undefined));
      inquiries.set(nonce, end);
      if (!host.send(record.by, { kind: 'callInquiry', key, nonce })) {
        end(undefined);
      }
    });
  }

  /** Says whether a call of this VM was sent; one that was not never will be. */
  function pledge(nonce: string): 'neverSent' | 'maybeSent' {
    const standing = standings.get(nonce);
    if (standing === 'claiming' || standing === 'abandoned') {
      standings.set(nonce, 'abandoned');
      return 'neverSent';
    }
    return 'maybeSent';
  }

  function receive(
    from: string,
    message: Extract<Message, { kind: 'callInquiry' | 'callStatus' }>,
  ): void {
    const { key, nonce } = message;
    if (message.kind === 'callInquiry') {
      host.send(from, { kind: 'callStatus', key, nonce, status: pledge(nonce) });
    } else {
      inquiries.get(nonce)?.(message.status);
    }
  }

  /** Writes an outcome down, again and again until the platform has taken it. */
  async function settle(key: string, revision: number, record: CallRecord): Promise<void> {
    unsettled += 1;
    let isDone = false;
    while (!isDone) {
      const put = { kind: 'put', key, value: JSON.stringify(record) } as const;
      const compare = [{ key, modRevision: revision }];
      const answer = await write({ compare, writes: [put], readOnFailure: [] });
      // A failed comparison means that an earlier try took effect: no other VM writes a sent claim.
      isDone = answer.ok;
      if (!isDone) {
        await pause();
      }
    }
    unsettled -= 1;
  }

  async function releaseUntilDone(key: string, nonce: string): Promise<void> {
    unsettled += 1;
    let isDone = false;
    while (!isDone) {
      isDone = await tryRelease(key, nonce);
      if (!isDone) {
        await pause();
      }
    }
    host.log('callReleased', { key });
    unsettled -= 1;
  }

  async function tryRelease(key: string, nonce: string): Promise<boolean> {
    const answer = await host.keyValue.range({ key });
    if (!answer.ok) {
      return false;
    }
    const [entry] = answer.value.entries;
    if (!entry || CallRecord.parse(JSON.parse(entry.value)).nonce !== nonce) {
      return true;
    }
    const removed = await host.keyValue.transact({
      compare: [{ key, modRevision: entry.modRevision }],
      writes: [{ kind: 'delete', key }],
      readOnFailure: [],
    });
    return removed.ok;
  }

  function pause(): Promise<void> {
    return new Promise((resolve) => {
      host.setTimer(SETTLE_PAUSE_MS, resolve);
    });
  }

  /**
   * Removes records whose time is over. Records hang on no lease: one that lapsed early would let a
   * call run twice.
   */
  async function sweep(): Promise<void> {
    if (!host.isSweeper()) {
      return;
    }
    const keptSince = host.getTimeOfDay() - options.keptSeconds * 1000;
    let key = CALL_PREFIX;
    let more = true;
    while (more) {
      const page = await host.keyValue.range({
        key,
        rangeEnd: getPrefixEnd(CALL_PREFIX),
        limit: SWEEP_PAGE_RECORDS,
      });
      if (!page.ok) {
        return;
      }
      const { entries } = page.value;
      await remove(
        entries.filter((entry) => CallRecord.parse(JSON.parse(entry.value)).at < keptSince),
      );
      more = page.value.more && entries.length > 0;
      key = more ? `${entries.at(-1)!.key}\0` : key;
    }
  }

  async function remove(entries: KeyValueEntry[]): Promise<void> {
    for (let first = 0; first < entries.length; first += SWEEP_DELETES_PER_CALL) {
      const part = entries.slice(first, first + SWEEP_DELETES_PER_CALL);
      await host.keyValue.transactAll(
        part.map(({ key, modRevision }) => ({
          compare: [{ key, modRevision }],
          writes: [{ kind: 'delete', key }],
          readOnFailure: [],
        })),
      );
    }
  }

  function start(): void {
    stopSweeping = createRepeater(host, SWEEP_PAUSE_MS, sweep);
  }

  return {
    run,
    receive,
    start,
    stop: () => stopSweeping(),
    sweep,
    getUnsettledCount: () => unsettled,
  };
}

/** The key may stand for a call that ran earlier, so this is not "not run". */
function getOutage(): CallOutcome {
  const error = {
    reason: 'platformUnavailable',
    ran: 'unknown',
    retryAfterMs: OUTAGE_RETRY_MS,
  } as const;
  return { ok: false, error };
}

function getUnknown(): CallOutcome {
  return { ok: false, error: { reason: 'outcomeUnknown', ran: 'unknown', retryAfterMs: 0 } };
}

function getInProgress(): CallOutcome {
  const error = {
    reason: 'callInProgress',
    ran: 'unknown',
    retryAfterMs: IN_PROGRESS_RETRY_MS,
  } as const;
  return { ok: false, error };
}
