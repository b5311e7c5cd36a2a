import type Log from '../events/Log';
import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type KeyValueEntry from '../keyValue/KeyValueEntry';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import runPeriodically from '../shared/runPeriodically';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type RequestError from '../completions/RequestError';
import type ServiceResponse from '../upstream/ServiceResponse';
import type ServiceError from '../upstream/ServiceError';
import CallRecord from './CallRecord';
import createWriteBatcher from './createWriteBatcher';

const CALL_PREFIX = '/baobablink/calls/';
const MAX_BATCH_SIZE = 64;
const MAX_WRITES_IN_FLIGHT = 2;
const MAX_READ_ATTEMPTS = 3;
const READ_RETRY_DELAY_MS = 200;
const INQUIRY_TIMEOUT_MS = 500;
const STORE_RETRY_DELAY_MS = 1000;
const IN_PROGRESS_RETRY_AFTER_MS = 1000;
const OUTAGE_RETRY_AFTER_MS = 5000;
const SWEEP_INTERVAL_MS = 600_000;
const SWEEP_PAGE_RECORDS = 500;
const SWEEP_DELETES_PER_CALL = 60;

interface CallsHost extends Clock {
  keyValue: KeyValue;
  send(to: string, message: Message): boolean;
  createNonce(): string;
  /** Returns the time of day in milliseconds, by which all VMs date records. */
  getTimeOfDay(): number;
  /** Returns whether this VM is the one that removes expired records. */
  isSweeper(): boolean;
  log: Log;
}

interface Call {
  team: string;
  key: string;
  fingerprint: string;
  /** Sends the call. It is invoked at most once, and only after the claim is confirmed. */
  send(): Promise<Result<ServiceResponse, ServiceError>>;
}

type CallResult = Result<ServiceResponse, RequestError>;

/** State of one of this VM's own claims. The call of an abandoned claim is never sent. */
type ClaimState = 'claiming' | 'abandoned' | 'sent' | 'settled';

/**
 * Runs non-idempotent calls at most once. A claim by team and key is written to the key-value
 * service before any byte of the call is sent. The outcome is stored there too, so that a repeated
 * call gets the first response. A claim whose call was never sent is released. An unknown outcome
 * is stored and returned as unknown.
 */
export default function createCalls(
  host: CallsHost,
  options: { address: string; retentionSeconds: number; maxBatchSize?: number },
) {
  const write = createWriteBatcher(host.keyValue, {
    maxBatchSize: options.maxBatchSize ?? MAX_BATCH_SIZE,
    maxCallsInFlight: MAX_WRITES_IN_FLIGHT,
  });
  const claimStates = new Map<string, ClaimState>();
  const pendingInquiries = new Map<string, (status: 'neverSent' | 'maybeSent') => void>();
  let stopSweeping = () => {};
  let pendingWrites = 0;

  async function run(call: Call): Promise<CallResult> {
    const key = `${CALL_PREFIX}${call.team}/${call.key}`;
    const nonce = host.createNonce();
    claimStates.set(nonce, 'claiming');
    const result = await claimAndSend(call, key, nonce, 0);
    if (claimStates.get(nonce) !== 'sent') {
      claimStates.set(nonce, 'abandoned');
    }
    scheduleClaimStateRemoval(nonce);
    return result;
  }

  function scheduleClaimStateRemoval(nonce: string): void {
    host.setTimer(options.retentionSeconds * 1000, () => claimStates.delete(nonce));
  }

  async function claimAndSend(
    call: Call,
    key: string,
    nonce: string,
    ifRevision: number,
  ): Promise<CallResult> {
    const record: CallRecord = {
      nonce,
      by: options.address,
      at: host.getTimeOfDay(),
      fingerprint: call.fingerprint,
      state: { kind: 'claimed' },
    };
    const put = { kind: 'put', key, value: JSON.stringify(record) } as const;
    const response = await write({
      compare: [{ key, modRevision: ifRevision }],
      writes: [put],
      readOnFailure: [key],
    });
    if (response.ok && response.value.succeeded) {
      return sendClaimed(call, key, record, response.value.revision);
    }
    if (response.ok) {
      const [entry] = response.value.read;
      return entry
        ? resolveByRecord(call, key, nonce, JSON.parse(entry.value), entry.modRevision)
        : createPlatformUnavailable();
    }
    return response.error.kind === 'unknown'
      ? resolveUncertainClaim(call, key, record)
      : createPlatformUnavailable();
  }

  /**
   * Reads the record after the response to a claim was lost. The nonce shows whether the claim was
   * written.
   */
  async function resolveUncertainClaim(
    call: Call,
    key: string,
    record: CallRecord,
  ): Promise<CallResult> {
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt += 1) {
      const response = await host.keyValue.range({ key });
      const entry = response.ok ? response.value.entries[0] : undefined;
      if (entry) {
        const found = CallRecord.parse(JSON.parse(entry.value));
        return found.nonce === record.nonce
          ? sendClaimed(call, key, found, entry.modRevision)
          : resolveByRecord(call, key, record.nonce, found, entry.modRevision);
      }
      await new Promise<void>((resolve) => {
        host.setTimer(READ_RETRY_DELAY_MS, resolve);
      });
    }
    // The write may still take effect. It is undone once the key-value service responds.
    releaseUntilDone(key, record.nonce);
    return createPlatformUnavailable();
  }

  async function sendClaimed(
    call: Call,
    key: string,
    record: CallRecord,
    revision: number,
  ): Promise<CallResult> {
    if (claimStates.get(record.nonce) !== 'claiming') {
      return createCallInProgress();
    }
    claimStates.set(record.nonce, 'sent');
    host.log('callClaimed', { key });
    const response = await call.send();
    if (response.ok) {
      storeOutcome(key, revision, { ...record, state: { kind: 'done', answer: response.value } });
      return response;
    }
    if (response.error.kind === 'notSent') {
      claimStates.set(record.nonce, 'abandoned');
      releaseUntilDone(key, record.nonce);
      const error = { reason: 'upstreamFailed', ran: 'no', retryAfterMs: 1000 } as const;
      return { ok: false, error };
    }
    storeOutcome(key, revision, { ...record, state: { kind: 'unknown' } });
    host.log('callUnknown', { key });
    return createOutcomeUnknown();
  }

  /** Returns the result for a call whose key already has a record. */
  async function resolveByRecord(
    call: Call,
    key: string,
    nonce: string,
    storedRecord: unknown,
    revision: number,
  ): Promise<CallResult> {
    const record = CallRecord.parse(storedRecord);
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
      return createOutcomeUnknown();
    }
    const status = await requestCallStatus(key, record);
    if (status === 'neverSent') {
      return claimAndSend(call, key, nonce, revision);
    }
    return status === 'maybeSent' ? createCallInProgress() : createOutcomeUnknown();
  }

  /**
   * Requests the status of a call from the VM that claimed it. Returns undefined if that VM can't
   * be reached or does not reply in time.
   */
  async function requestCallStatus(
    key: string,
    record: CallRecord,
  ): Promise<'neverSent' | 'maybeSent' | undefined> {
    const { nonce } = record;
    if (record.by === options.address) {
      return abandonUnlessSent(nonce);
    }
    return new Promise((resolve) => {
      const end = (status: 'neverSent' | 'maybeSent' | undefined) => {
        cancel();
        pendingInquiries.delete(nonce);
        resolve(status);
      };
      const cancel = host.setTimer(INQUIRY_TIMEOUT_MS, () => end(undefined));
      pendingInquiries.set(nonce, end);
      if (!host.send(record.by, { kind: 'callInquiry', key, nonce })) {
        end(undefined);
      }
    });
  }

  /**
   * Returns whether a call of this VM may have been sent. A claim whose call was not sent yet is
   * abandoned, so that the call never will be.
   */
  function abandonUnlessSent(nonce: string): 'neverSent' | 'maybeSent' {
    const claimState = claimStates.get(nonce);
    if (claimState === 'claiming' || claimState === 'abandoned') {
      claimStates.set(nonce, 'abandoned');
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
      host.send(from, { kind: 'callStatus', key, nonce, status: abandonUnlessSent(nonce) });
    } else {
      pendingInquiries.get(nonce)?.(message.status);
    }
  }

  /** Writes an outcome to the key-value service, with retries until the service responds. */
  async function storeOutcome(key: string, revision: number, record: CallRecord): Promise<void> {
    pendingWrites += 1;
    let isDone = false;
    while (!isDone) {
      const put = { kind: 'put', key, value: JSON.stringify(record) } as const;
      const compare = [{ key, modRevision: revision }];
      const response = await write({ compare, writes: [put], readOnFailure: [] });
      // A failed comparison means that an earlier attempt took effect, since no other VM writes to
      // the record of a call that was sent.
      isDone = response.ok;
      if (!isDone) {
        await waitBeforeRetry();
      }
    }
    pendingWrites -= 1;
  }

  /** Deletes a claim from the key-value service, with retries until the service responds. */
  async function releaseUntilDone(key: string, nonce: string): Promise<void> {
    pendingWrites += 1;
    let isDone = false;
    while (!isDone) {
      isDone = await tryRelease(key, nonce);
      if (!isDone) {
        await waitBeforeRetry();
      }
    }
    host.log('callReleased', { key });
    pendingWrites -= 1;
  }

  async function tryRelease(key: string, nonce: string): Promise<boolean> {
    const response = await host.keyValue.range({ key });
    if (!response.ok) {
      return false;
    }
    const [entry] = response.value.entries;
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

  function waitBeforeRetry(): Promise<void> {
    return new Promise((resolve) => {
      host.setTimer(STORE_RETRY_DELAY_MS, resolve);
    });
  }

  /**
   * Removes expired records. Records are not attached to a lease, because a lease that expired
   * early would let a call run twice.
   */
  async function sweep(): Promise<void> {
    if (!host.isSweeper()) {
      return;
    }
    const cutoff = host.getTimeOfDay() - options.retentionSeconds * 1000;
    let key = CALL_PREFIX;
    let hasMore = true;
    while (hasMore) {
      const page = await host.keyValue.range({
        key,
        rangeEnd: getPrefixEnd(CALL_PREFIX),
        limit: SWEEP_PAGE_RECORDS,
      });
      if (!page.ok) {
        return;
      }
      const { entries } = page.value;
      await removeRecords(
        entries.filter((entry) => CallRecord.parse(JSON.parse(entry.value)).at < cutoff),
      );
      hasMore = page.value.more && entries.length > 0;
      key = hasMore ? `${entries.at(-1)!.key}\0` : key;
    }
  }

  async function removeRecords(entries: KeyValueEntry[]): Promise<void> {
    for (let offset = 0; offset < entries.length; offset += SWEEP_DELETES_PER_CALL) {
      const chunk = entries.slice(offset, offset + SWEEP_DELETES_PER_CALL);
      await host.keyValue.transactAll(
        chunk.map(({ key, modRevision }) => ({
          compare: [{ key, modRevision }],
          writes: [{ kind: 'delete', key }],
          readOnFailure: [],
        })),
      );
    }
  }

  function start(): void {
    stopSweeping = runPeriodically(host, SWEEP_INTERVAL_MS, sweep);
  }

  return {
    run,
    receive,
    start,
    stop: () => stopSweeping(),
    sweep,
    getPendingWriteCount: () => pendingWrites,
  };
}

/**
 * Returns the error for an outage of the key-value service. An earlier call with the same key may
 * have run, so `ran` is `unknown`, not `no`.
 */
function createPlatformUnavailable(): CallResult {
  const error = {
    reason: 'platformUnavailable',
    ran: 'unknown',
    retryAfterMs: OUTAGE_RETRY_AFTER_MS,
  } as const;
  return { ok: false, error };
}

function createOutcomeUnknown(): CallResult {
  return { ok: false, error: { reason: 'outcomeUnknown', ran: 'unknown', retryAfterMs: 0 } };
}

function createCallInProgress(): CallResult {
  const error = {
    reason: 'callInProgress',
    ran: 'unknown',
    retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS,
  } as const;
  return { ok: false, error };
}
