import { Agent, request } from 'undici';
import { match } from 'ts-pattern';
import type Result from '../shared/Result';
import createBoundedConnector from '../upstream/createBoundedConnector';
import readResponseText from '../upstream/readResponseText';
import rejectInvalidStatus from '../upstream/rejectInvalidStatus';
import type KeyValue from './KeyValue';
import type KeyValueEntry from './KeyValueEntry';
import type KeyValueError from './KeyValueError';
import type KeyValueTransaction from './KeyValueTransaction';
import getPrefixEnd from './getPrefixEnd';

interface WireEntry {
  key: string;
  value?: string;
  create_revision?: string;
  mod_revision: string;
}

interface WireTransactionResponse {
  header?: { revision: string };
  succeeded?: boolean;
  responses?: {
    response_range?: { kvs?: WireEntry[] };
    response_txn?: WireTransactionResponse;
  }[];
}

const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const TOO_MANY_REQUESTS = 429;
/** A range may hold all rows of a table. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * Creates a client of the etcd v3 JSON API (range, txn, lease, watch).
 * A failed call is `notDone` only if no connection was made or the service rejected the call.
 */
export default function createEtcdKeyValue(options: {
  url: string;
  callTimeoutMs: number;
  countCall: (name: string) => void;
}): KeyValue {
  const agent = new Agent({
    connections: 16,
    connect: createBoundedConnector({
      connectTimeoutMs: options.callTimeoutMs,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    }),
  });

  async function call<Value>(
    name: string,
    path: string,
    body: unknown,
    convert: (response: never) => Value,
  ): Promise<Result<Value, KeyValueError>> {
    options.countCall(name);
    try {
      const response = await request(`${options.url}${path}`, {
        onInfo: rejectInvalidStatus,
        method: 'POST',
        dispatcher: agent,
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(options.callTimeoutMs),
      });
      const text = await readResponseText(response.body);
      if (response.statusCode === TOO_MANY_REQUESTS) {
        return { ok: false, error: { kind: 'rateLimited' } };
      }
      if (response.statusCode >= 500) {
        return { ok: false, error: { kind: 'unknown', reason: `status ${response.statusCode}` } };
      }
      if (response.statusCode >= 400) {
        return { ok: false, error: { kind: 'notDone', reason: text.slice(0, 200) } };
      }
      return { ok: true, value: convert(JSON.parse(text) as never) };
    } catch (error) {
      const { code, message } = error as { code?: string; message: string };
      const kind = CONNECT_ERROR_CODES.has(code ?? '') ? 'notDone' : 'unknown';
      return { ok: false, error: { kind, reason: message } };
    }
  }

  const range: KeyValue['range'] = (rangeRequest) =>
    call(
      'range',
      '/v3/kv/range',
      {
        key: encodeBase64(rangeRequest.key),
        range_end:
          rangeRequest.rangeEnd === undefined ? undefined : encodeBase64(rangeRequest.rangeEnd),
        limit: rangeRequest.limit === undefined ? undefined : String(rangeRequest.limit),
        revision:
          rangeRequest.atRevision === undefined ? undefined : String(rangeRequest.atRevision),
        min_mod_revision:
          rangeRequest.minModRevision === undefined
            ? undefined
            : String(rangeRequest.minModRevision),
      },
      (response: { header: { revision: string }; more?: boolean; kvs?: WireEntry[] }) => ({
        revision: Number(response.header.revision),
        more: response.more === true,
        entries: (response.kvs ?? []).map(convertEntry),
      }),
    );

  const transact: KeyValue['transact'] = (transaction) =>
    call('txn', '/v3/kv/txn', convertTransaction(transaction), convertTransactionResponse);

  const transactAll: KeyValue['transactAll'] = (transactions) =>
    call(
      'txn',
      '/v3/kv/txn',
      {
        success: transactions.map((transaction) => ({
          request_txn: convertTransaction(transaction),
        })),
      },
      (response: WireTransactionResponse) => ({
        revision: Number(response.header!.revision),
        answers: response.responses!.map((operation) =>
          convertTransactionResponse({ header: response.header, ...operation.response_txn }),
        ),
      }),
    );

  const grantLease: KeyValue['grantLease'] = (ttlSeconds) =>
    call(
      'leaseGrant',
      '/v3/lease/grant',
      { TTL: String(ttlSeconds) },
      (response: { ID: string }) => response.ID,
    );

  const keepLeaseAlive: KeyValue['keepLeaseAlive'] = (lease) =>
    call(
      'leaseKeepAlive',
      '/v3/lease/keepalive',
      { ID: lease },
      (response: { result: { TTL?: string } }) => Number(response.result.TTL ?? 0),
    );

  const revokeLease: KeyValue['revokeLease'] = (lease) =>
    call('leaseRevoke', '/v3/lease/revoke', { ID: lease }, () => undefined);

  const watch: KeyValue['watch'] = (watchRequest, onEntries, onEnd) => {
    const abortController = new AbortController();
    const readStream = async () => {
      options.countCall('watch');
      const response = await request(`${options.url}/v3/watch`, {
        onInfo: rejectInvalidStatus,
        method: 'POST',
        dispatcher: agent,
        bodyTimeout: 0,
        headersTimeout: 0,
        signal: abortController.signal,
        body: JSON.stringify({
          create_request: {
            key: encodeBase64(watchRequest.prefix),
            range_end: encodeBase64(getPrefixEnd(watchRequest.prefix)),
            start_revision: String(watchRequest.fromRevision),
          },
        }),
      });
      let partialLine = '';

      for await (const chunk of response.body) {
        partialLine += (chunk as Buffer).toString('utf8');
        const lines = partialLine.split('\n');
        partialLine = lines.pop()!;
        if (lines.some((line) => !handleLine(line))) {
          return 'compacted' as const;
        }
      }
      return 'closed' as const;
    };
    const handleLine = (line: string): boolean => {
      const { result } = JSON.parse(line) as {
        result: {
          header: { revision: string };
          compact_revision?: string;
          events?: { type?: string; kv: WireEntry }[];
        };
      };
      if (Number(result.compact_revision ?? 0) > 0) {
        return false;
      }
      const puts = (result.events ?? []).filter((event) => event.type !== 'DELETE');
      onEntries(
        puts.map((event) => convertEntry(event.kv)),
        Number(result.header.revision),
      );
      return true;
    };
    readStream().then(onEnd, () => onEnd('closed'));
    return () => abortController.abort();
  };

  return { range, transact, transactAll, grantLease, keepLeaseAlive, revokeLease, watch };
}

function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

function convertEntry(entry: WireEntry): KeyValueEntry {
  return {
    key: decodeBase64(entry.key),
    value: decodeBase64(entry.value ?? ''),
    createRevision: Number(entry.create_revision ?? 0),
    modRevision: Number(entry.mod_revision),
  };
}

function convertTransaction(transaction: KeyValueTransaction) {
  return {
    compare: transaction.compare.map(({ key, modRevision }) => ({
      key: encodeBase64(key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(modRevision),
    })),
    success: transaction.writes.map((write) =>
      match(write)
        .with({ kind: 'put' }, ({ key, value, lease }) => ({
          request_put: { key: encodeBase64(key), value: encodeBase64(value), lease },
        }))
        .with({ kind: 'delete' }, ({ key }) => ({
          request_delete_range: { key: encodeBase64(key) },
        }))
        .exhaustive(),
    ),
    failure: transaction.readOnFailure.map((key) => ({
      request_range: { key: encodeBase64(key) },
    })),
  };
}

function convertTransactionResponse(response: WireTransactionResponse) {
  const failureResponses = response.succeeded === true ? [] : (response.responses ?? []);
  return {
    succeeded: response.succeeded === true,
    revision: Number(response.header!.revision),
    read: failureResponses.flatMap((failureResponse) =>
      (failureResponse.response_range?.kvs ?? []).map(convertEntry),
    ),
  };
}
