import { expect } from 'chai';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import createKeyValueClient from '../../platform/createKeyValueClient';

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

describe('the client of the platform’s store', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  it('reads a page, decoding values', async () => {
    const store = await open((request, response) => {
      expect(request.url).to.equal('/api/kv-range?PathPrefix=op%2F');
      const items = [{ Key: 'op/a', Value: Buffer.from('{"x":1}').toString('base64'), Rev: 4 }];
      response.end(JSON.stringify({ items, MorePages: true, StoreRevision: 9 }));
    });
    expect(await store.list({ prefix: 'op/', after: undefined })).to.deep.equal({
      ok: true,
      value: {
        revision: 9,
        more: true,
        changes: [{ key: 'op/a', revision: 4, value: '{"x":1}' }],
      },
    });
  });

  it('tells removals, dropped history, refusals and unreadable answers apart', async () => {
    const answers: [number, string][] = [
      [200, '{"events":[{"Key":"a","Rev":5,"Tombstone":true}],"StoreRevision":5}'],
      [410, ''],
      [429, ''],
      [503, ''],
      [200, 'not json'],
    ];
    const store = await open((_, response) => {
      const [status, body] = answers.shift()!;
      response.writeHead(status).end(body);
    });
    const follow = () => store.follow({ prefix: '', afterRevision: 4, waitMs: 10 });
    expect(await follow()).to.deep.include({
      value: { revision: 5, changes: [{ key: 'a', revision: 5, value: undefined }] },
    });
    expect(await follow()).to.deep.equal({ ok: false, error: { kind: 'compacted' } });
    expect(await follow()).to.deep.equal({ ok: false, error: { kind: 'rateLimited' } });
    expect(await follow()).to.deep.include({ error: { kind: 'notDone', reason: 'refused' } });
    expect(await follow()).to.deep.include({
      error: { kind: 'unknown', reason: 'response could not be decoded' },
    });
  });

  it('says that a write whose answer is lost may have been done', async () => {
    const store = await open((_, response) => response.destroy());
    const answer = await store.transact({
      compare: [],
      writes: [{ kind: 'put', key: 'k', value: 'v' }],
      readOnFailure: [],
    });
    expect(answer).to.have.nested.property('error.kind', 'unknown');
  });

  it('writes under conditions, and reads what did not hold', async () => {
    const sent: unknown[] = [];
    const statuses = [200, 412];
    const store = await open((_, response, body) => {
      sent.push(JSON.parse(body));
      const status = statuses.shift()!;
      const items = [{ Key: 'k', Value: '', Rev: 8 }];
      response.writeHead(status).end(JSON.stringify(status === 200 ? { Rev: 7 } : { items }));
    });
    const write = () =>
      store.transact({
        compare: [{ key: 'k', modRevision: 3 }],
        writes: [
          { kind: 'put', key: 'k', value: 'v', lease: '12' },
          { kind: 'delete', key: 'old' },
        ],
        readOnFailure: [],
      });
    expect(await write()).to.deep.include({ value: { succeeded: true, revision: 7, read: [] } });
    expect(await write()).to.have.nested.property('value.succeeded', false);
    expect(sent[0]).to.deep.equal({
      Expected: [{ Key: 'k', Rev: 3 }],
      Puts: [{ Key: 'k', Value: Buffer.from('v').toString('base64'), Lease: 12 }],
      Remove: ['old'],
    });
  });

  it('knows an ended lease from a store that does not answer', async () => {
    const statuses = [200, 404, 503];
    const store = await open((_, response) => response.writeHead(statuses.shift()!).end('{}'));
    expect(await store.keepLeaseAlive('1')).to.deep.equal({ ok: true, value: 1 });
    expect(await store.keepLeaseAlive('1')).to.deep.equal({ ok: true, value: 0 });
    expect(await store.keepLeaseAlive('1')).to.have.property('ok', false);
  });

  async function open(handle: Handler) {
    server = createServer((request, response) => {
      const parts: Buffer[] = [];
      request.on('data', (part: Buffer) => parts.push(part));
      request.on('end', () => handle(request, response, Buffer.concat(parts).toString()));
    });
    await new Promise<void>((resolve) => {
      server!.listen(0, '127.0.0.1', resolve);
    });
    return createKeyValueClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => {});
  }
});
