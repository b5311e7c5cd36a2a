import { Agent, request } from 'undici';
import { match } from 'ts-pattern';
import type Result from '../shared/Result';
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

interface WireTransactionAnswer {
  header?: { revision: string };
  succeeded?: boolean;
  responses?: {
    response_range?: { kvs?: WireEntry[] };
    response_txn?: WireTransactionAnswer;
  }[];
}

const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const REFUSED_STATUS = 429;

/**
 * Client of the etcd v3 JSON interface (range, txn, lease, watch).
 * A failed call is `notDone` only where no connection was made or the service refused it.
 */
export default function createEtcdKeyValue(options: {
  url: string;
  callTimeoutMs: number;
  countCall: (name: string) => void;
}): KeyValue {
  const agent = new Agent({ connections: 16, connectTimeout: options.callTimeoutMs });

  async function call<Value>(
    name: string,
    path: string,
    body: unknown,
    convert: (answer: never) => Value,
  ): Promise<Result<Value, KeyValueError>> {
    options.countCall(name);
    try {
      const response = await request(`${options.url}${path}`, {
        method: 'POST',
        dispatcher: agent,
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(options.callTimeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode === REFUSED_STATUS) {
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
      const kind = CONNECT_FAILURES.has(code ?? '') ? 'notDone' : 'unknown';
      return { ok: false, error: { kind, reason: message } };
    }
  }

  const range: KeyValue['range'] = (wanted) =>
    call(
      'range',
      '/v3/kv/range',
      {
        key: encode(wanted.key),
        range_end: wanted.rangeEnd === undefined ? undefined : encode(wanted.rangeEnd),
        limit: wanted.limit === undefined ? undefined : String(wanted.limit),
        revision: wanted.atRevision === undefined ? undefined : String(wanted.atRevision),
        min_mod_revision:
          wanted.minModRevision === undefined ? undefined : String(wanted.minModRevision),
      },
      (answer: { header: { revision: string }; more?: boolean; kvs?: WireEntry[] }) => ({
        revision: Number(answer.header.revision),
        more: answer.more === true,
        entries: (answer.kvs ?? []).map(convertEntry),
      }),
    );

  const transact: KeyValue['transact'] = (transaction) =>
    call('txn', '/v3/kv/txn', convertTransaction(transaction), convertTransactionAnswer);

  const transactAll: KeyValue['transactAll'] = (transactions) =>
    call(
      'txn',
      '/v3/kv/txn',
      {
        success: transactions.map((transaction) => ({
          request_txn: convertTransaction(transaction),
        })),
      },
      (answer: WireTransactionAnswer) => ({
        revision: Number(answer.header!.revision),
        answers: answer.responses!.map((response) =>
          convertTransactionAnswer({ header: answer.header, ...response.response_txn }),
        ),
      }),
    );

  const grantLease: KeyValue['grantLease'] = (ttlSeconds) =>
    call(
      'leaseGrant',
      '/v3/lease/grant',
      { TTL: String(ttlSeconds) },
      (answer: { ID: string }) => answer.ID,
    );

  const keepLeaseAlive: KeyValue['keepLeaseAlive'] = (lease) =>
    call(
      'leaseKeepAlive',
      '/v3/lease/keepalive',
      { ID: lease },
      (answer: { result: { TTL?: string } }) => Number(answer.result.TTL ?? 0),
    );

  const revokeLease: KeyValue['revokeLease'] = (lease) =>
    call('leaseRevoke', '/v3/lease/revoke', { ID: lease }, () => undefined);

  const watch: KeyValue['watch'] = (wanted, onEntries, onEnd) => {
    const abort = new AbortController();
    const follow = async () => {
      options.countCall('watch');
      const response = await request(`${options.url}/v3/watch`, {
        method: 'POST',
        dispatcher: agent,
        bodyTimeout: 0,
        headersTimeout: 0,
        signal: abort.signal,
        body: JSON.stringify({
          create_request: {
            key: encode(wanted.prefix),
            range_end: encode(getPrefixEnd(wanted.prefix)),
            start_revision: String(wanted.fromRevision),
          },
        }),
      });
      let rest = '';

      for await (const chunk of response.body) {
        rest += (chunk as Buffer).toString('utf8');
        const lines = rest.split('\n');
        rest = lines.pop()!;
        if (lines.some((line) => !takeLine(line))) {
          return 'compacted' as const;
        }
      }
      return 'closed' as const;
    };
    const takeLine = (line: string): boolean => {
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
    follow().then(onEnd, () => onEnd('closed'));
    return () => abort.abort();
  };

  return { range, transact, transactAll, grantLease, keepLeaseAlive, revokeLease, watch };
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

function convertEntry(entry: WireEntry): KeyValueEntry {
  return {
    key: decode(entry.key),
    value: decode(entry.value ?? ''),
    createRevision: Number(entry.create_revision ?? 0),
    modRevision: Number(entry.mod_revision),
  };
}

function convertTransaction(transaction: KeyValueTransaction) {
  return {
    compare: transaction.compare.map(({ key, modRevision }) => ({
      key: encode(key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(modRevision),
    })),
    success: transaction.writes.map((write) =>
      match(write)
        .with({ kind: 'put' }, ({ key, value, lease }) => ({
          request_put: { key: encode(key), value: encode(value), lease },
        }))
        .with({ kind: 'delete' }, ({ key }) => ({ request_delete_range: { key: encode(key) } }))
        .exhaustive(),
    ),
    failure: transaction.readOnFailure.map((key) => ({ request_range: { key: encode(key) } })),
  };
}

function convertTransactionAnswer(answer: WireTransactionAnswer) {
  const responses = answer.succeeded === true ? [] : (answer.responses ?? []);
  return {
    succeeded: answer.succeeded === true,
    revision: Number(answer.header!.revision),
    read: responses.flatMap((response) => (response.response_range?.kvs ?? []).map(convertEntry)),
  };
}
