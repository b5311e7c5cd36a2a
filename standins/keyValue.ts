/**
 * Stand-in for the key-value service (etcd v3 JSON interface) and the list of VMs. `POST /fault`
 * sets faults: `down`, `slowMs`, `loseAnswers` (number of next transactions that are applied
 * without a response), `silentWatches`, `refuse`.
 */
import http from 'node:http';
import createKeyValueState from './createKeyValueState';
import readArguments from './readArguments';
import type KeyValueEntry from '../src/keyValue/KeyValueEntry';
import type KeyValueTransaction from '../src/keyValue/KeyValueTransaction';

const { listen, vms } = readArguments({ listen: '127.0.0.1:2379', vms: '[]' });
const [host, port] = listen.split(':');
const state = createKeyValueState();
const vmsByAddress = new Map<string, { address: string; role: string; state: string }>(
  (JSON.parse(vms) as { address: string; role: string; state: string }[]).map((vm) => [
    vm.address,
    vm,
  ]),
);
const faults = { down: false, slowMs: 0, loseAnswers: 0, silentWatches: false, refuse: false };
const callCounts: Record<string, number> = {};

interface WireRequest {
  key: string;
  range_end?: string;
  limit?: string;
  revision?: string;
  min_mod_revision?: string;
}

interface WireTransaction {
  compare?: { key: string; mod_revision: string }[];
  success?: {
    request_put?: { key: string; value: string; lease?: string };
    request_delete_range?: { key: string };
    request_txn?: WireTransaction;
  }[];
  failure?: { request_range: WireRequest }[];
}

const decode = (text: string) => Buffer.from(text, 'base64').toString('utf8');
const encode = (text: string) => Buffer.from(text, 'utf8').toString('base64');
const toNumber = (text: string | undefined) => (text === undefined ? undefined : Number(text));

function encodeEntry(entry: KeyValueEntry) {
  return {
    key: encode(entry.key),
    value: encode(entry.value),
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
  };
}

function decodeTransaction(wire: WireTransaction): KeyValueTransaction {
  return {
    compare: (wire.compare ?? []).map(({ key, mod_revision: modRevision }) => ({
      key: decode(key),
      modRevision: Number(modRevision),
    })),
    writes: (wire.success ?? []).map(({ request_put: put, request_delete_range: deleteRange }) =>
      put
        ? { kind: 'put', key: decode(put.key), value: decode(put.value), lease: put.lease }
        : { kind: 'delete', key: decode(deleteRange!.key) },
    ),
    readOnFailure: (wire.failure ?? []).map((read) => decode(read.request_range.key)),
  };
}

function executeTransaction(wire: WireTransaction) {
  const nested = (wire.success ?? []).filter((operation) => operation.request_txn);
  const isNested = nested.length > 0;
  const transactions = isNested
    ? nested.map((operation) => decodeTransaction(operation.request_txn!))
    : [decodeTransaction(wire)];
  const { revision, answers } = state.transactAll(transactions);
  const header = { revision: String(revision) };
  const wireResults = answers.map(({ succeeded, read }) => ({
    header,
    succeeded,
    responses: succeeded
      ? []
      : read.map((entry) => ({ response_range: { kvs: [encodeEntry(entry)] } })),
  }));
  return isNested
    ? {
        header,
        succeeded: true,
        responses: wireResults.map((answer) => ({ response_txn: answer })),
      }
    : wireResults[0];
}

function handleCall(path: string, body: Record<string, unknown>): unknown {
  const now = Date.now();
  state.expire(now);
  const header = { revision: String(state.getRevision()) };
  switch (path) {
    case '/v3/kv/range': {
      const wire = body as unknown as WireRequest;
      const found = state.range({
        key: decode(wire.key),
        rangeEnd: wire.range_end === undefined ? undefined : decode(wire.range_end),
        limit: toNumber(wire.limit),
        atRevision: toNumber(wire.revision),
        minModRevision: toNumber(wire.min_mod_revision),
      });
      return { header, more: found.more, kvs: found.entries.map(encodeEntry) };
    }
    case '/v3/kv/txn':
      return executeTransaction(body);
    case '/v3/lease/grant':
      return { header, ID: state.grantLease(now, Number(body.TTL)), TTL: body.TTL };
    case '/v3/lease/keepalive':
      return { result: { ID: body.ID, TTL: String(state.keepLeaseAlive(now, String(body.ID))) } };
    case '/v3/lease/revoke':
      state.revokeLease(String(body.ID));
      return { header };
    default:
      return undefined;
  }
}

function watch(body: Record<string, unknown>, response: http.ServerResponse): void {
  const wire = body.create_request as { key: string; start_revision?: string };
  response.writeHead(200, { 'content-type': 'application/json' });
  const write = (result: unknown) => response.write(`${JSON.stringify({ result })}\n`);
  write({ header: { revision: String(state.getRevision()) }, created: true });
  const request = { prefix: decode(wire.key), fromRevision: Number(wire.start_revision ?? 0) };
  const stop = state.watch(request, (entries, revision) => {
    if (!faults.silentWatches && !faults.down) {
      write({
        header: { revision: String(revision) },
        events: entries.map((entry) => ({ type: 'PUT', kv: encodeEntry(entry) })),
      });
    }
  });
  response.on('close', stop);
}

function setFaults(newFaults: Partial<typeof faults>): void {
  if (faults.down && newFaults.down === false) {
    state.extendLeases(Date.now());
  }
  Object.assign(faults, newFaults);
}

const server = http.createServer(async (request, response) => {
  const parts: Buffer[] = [];

  for await (const chunk of request) {
    parts.push(chunk as Buffer);
  }
  const text = Buffer.concat(parts).toString('utf8');
  const path = request.url ?? '';
  const reply = (status: number, value: unknown) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  };
  if (path === '/fault') {
    setFaults(JSON.parse(text) as Partial<typeof faults>);
    reply(200, faults);
    return;
  }
  if (path === '/calls') {
    reply(200, callCounts);
    return;
  }
  if (path === '/vms') {
    if (request.method === 'POST') {
      const vm = JSON.parse(text) as { address: string; role: string; state: string };
      vmsByAddress.set(vm.address, vm);
    }
    reply(200, {
      vms: [...vmsByAddress.values()].filter(({ state: vmState }) => vmState !== 'gone'),
    });
    return;
  }
  if (faults.down) {
    request.socket.destroy();
    return;
  }
  callCounts[path] = (callCounts[path] ?? 0) + 1;
  if (faults.refuse) {
    reply(429, { error: 'too many requests' });
    return;
  }
  if (faults.slowMs > 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, faults.slowMs);
    });
  }
  const body = JSON.parse(text) as Record<string, unknown>;
  if (path === '/v3/watch') {
    watch(body, response);
    return;
  }
  const value = handleCall(path, body);
  if (path === '/v3/kv/txn' && faults.loseAnswers > 0) {
    faults.loseAnswers -= 1;
    request.socket.destroy();
    return;
  }
  reply(value === undefined ? 404 : 200, value ?? {});
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host);
process.on('SIGTERM', () => process.exit(0));
