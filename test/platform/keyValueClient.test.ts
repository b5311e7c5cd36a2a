import { expect } from 'chai';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import createKeyValueClient from '../../platform/createKeyValueClient';

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

describe('createKeyValueClient', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  it('lists a page and decodes its values', async () => {
    const client = await createTestClient((request, response) => {
      expect(request.url).to.equal('/api/kv-range?PathPrefix=op%2F');
      const items = [{ Key: 'op/a', Value: Buffer.from('{"x":1}').toString('base64'), Rev: 4 }];
      response.end(JSON.stringify({ items, MorePages: true, StoreRevision: 9 }));
    });
    expect(await client.list({ prefix: 'op/', after: undefined })).to.deep.equal({
      ok: true,
      value: {
        revision: 9,
        more: true,
        changes: [{ key: 'op/a', revision: 4, value: '{"x":1}' }],
      },
    });
  });

  it('distinguishes removals, compacted history, refusals and invalid responses', async () => {
    const responses: [number, string][] = [
      [200, '{"events":[{"Key":"a","Rev":5,"Tombstone":true}],"StoreRevision":5}'],
      [410, ''],
      [429, ''],
      [503, ''],
      [200, 'not json'],
    ];
    const client = await createTestClient((_, response) => {
      const [status, body] = responses.shift()!;
      response.writeHead(status).end(body);
    });
    const follow = () => client.follow({ prefix: '', afterRevision: 4, waitMs: 10 });
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

  it('returns an unknown result for a write whose response is lost', async () => {
    const client = await createTestClient((_, response) => response.destroy());
    const result = await client.transact({
      compare: [],
      writes: [{ kind: 'put', key: 'k', value: 'v' }],
      readOnFailure: [],
    });
    expect(result).to.have.nested.property('error.kind', 'unknown');
  });

  it('writes under conditions and reports a condition that is not met', async () => {
    const sentBodies: unknown[] = [];
    const statuses = [200, 412];
    const client = await createTestClient((_, response, body) => {
      sentBodies.push(JSON.parse(body));
      const status = statuses.shift()!;
      const items = [{ Key: 'k', Value: '', Rev: 8 }];
      response.writeHead(status).end(JSON.stringify(status === 200 ? { Rev: 7 } : { items }));
    });
    const write = () =>
      client.transact({
        compare: [{ key: 'k', modRevision: 3 }],
        writes: [
          { kind: 'put', key: 'k', value: 'v', lease: '0:12' },
          { kind: 'delete', key: 'old' },
        ],
        readOnFailure: [],
      });
    expect(await write()).to.deep.include({ value: { succeeded: true, revision: 7, read: [] } });
    expect(await write()).to.have.nested.property('value.succeeded', false);
    expect(sentBodies[0]).to.deep.equal({
      Expected: [{ Key: 'k', Rev: 3 }],
      Puts: [{ Key: 'k', Value: Buffer.from('v').toString('base64'), Lease: 12 }],
      Remove: ['old'],
    });
  });

  it('distinguishes an expired lease from an unavailable service', async () => {
    const statuses = [200, 404, 503];
    const client = await createTestClient((_, response) =>
      response.writeHead(statuses.shift()!).end('{}'),
    );
    expect(await client.keepLeaseAlive('0:1')).to.deep.equal({ ok: true, value: 1 });
    expect(await client.keepLeaseAlive('0:1')).to.deep.equal({ ok: true, value: 0 });
    expect(await client.keepLeaseAlive('0:1')).to.have.property('ok', false);
  });

  async function createTestClient(handle: Handler) {
    server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => handle(request, response, Buffer.concat(chunks).toString()));
    });
    await new Promise<void>((resolve) => {
      server!.listen(0, '127.0.0.1', resolve);
    });
    return createKeyValueClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => {});
  }
});
