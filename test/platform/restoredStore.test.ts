import { expect } from 'chai';
import { createAdaptorServer } from '@hono/node-server';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import createKeyValueClient from '../../platform/createKeyValueClient';
import createMirror from '../../src/mirror/createMirror';
import createKeyValueApp from '../../standins/platform/createKeyValueApp';
import createKeyValueStore from '../../standins/platform/createKeyValueStore';
import waitFor from '../../scripts/waitFor';

const KEY = 'op/config';

describe('a key-value service that comes back from an older copy', () => {
  let server: Server | undefined;
  let mirror: ReturnType<typeof createMirror> | undefined;

  afterEach(() => {
    mirror?.stop();
    server?.close();
    (server as { closeAllConnections?(): void }).closeAllConnections?.();
  });

  it('has changes that reach a mirror although their revisions are lower', async () => {
    const fixture = await startMirror();
    fixture.write('before the copy');
    const restore = fixture.store.createCopy();
    Array.from({ length: 20 }, (_, index) => fixture.write(`after the copy ${index}`));
    await fixture.waitForValue('after the copy 19');
    restore();
    fixture.write('after the return');
    await fixture.waitForValue('after the return');
  });

  it('has changes that reach a mirror when a revision names another state than before', async () => {
    const fixture = await startMirror();
    fixture.write('1');
    const restore = fixture.store.createCopy();
    fixture.write('2');
    fixture.write('3');
    await fixture.waitForValue('3');
    restore();
    fixture.write('4');
    fixture.write('5');
    await fixture.waitForValue('5');
  });

  it('does not confirm a write whose condition was met by a revision given out again', async () => {
    const { client, store, write } = await startMirror();
    write('1');
    const restore = store.createCopy();
    write('2');
    const page = await client.list({ prefix: '', after: undefined });
    const { revision } = page.ok ? page.value.changes[0] : { revision: 0 };
    restore();
    write('another 2');
    const result = await client.transact({
      compare: [{ key: KEY, modRevision: revision }],
      writes: [{ kind: 'put', key: KEY, value: '3' }],
      readOnFailure: [],
    });
    expect(result.ok && result.value.succeeded).to.equal(false);
  });

  it('does not renew or revoke the lease of another VM that got the same number', async () => {
    const { client, store } = await startMirror();
    const restore = store.createCopy();
    const lease = await client.grantLease(60);
    restore();
    const otherLease = await client.grantLease(60);
    if (!lease.ok || !otherLease.ok) {
      throw new Error('no lease was granted');
    }
    expect(await client.keepLeaseAlive(lease.value)).to.deep.equal({ ok: true, value: 0 });
    expect(await client.keepLeaseAlive(otherLease.value)).to.deep.equal({ ok: true, value: 1 });
    await client.revokeLease(lease.value);
    expect(await client.keepLeaseAlive(otherLease.value)).to.deep.equal({ ok: true, value: 1 });
  });

  async function startMirror() {
    const store = createKeyValueStore();
    const app = createKeyValueApp(store, () => 'none');
    const appServer = createAdaptorServer({ fetch: app.fetch }) as Server;
    server = appServer;
    await new Promise<void>((resolve) => {
      appServer.listen(0, '127.0.0.1', resolve);
    });
    const { port } = appServer.address() as AddressInfo;
    const client = createKeyValueClient(`127.0.0.1:${port}`, () => {});
    const startedMirror = createMirror({
      now: () => performance.now(),
      setTimer: (delayMs, callback) => {
        const timer = setTimeout(callback, delayMs);
        return () => clearTimeout(timer);
      },
      feed: client,
      isReader: () => true,
      broadcast: () => {},
      requestSnapshot: () => {},
      requestChanges: () => false,
      isOutdated: () => false,
      onChange: () => {},
      log: () => {},
    });
    mirror = startedMirror;
    startedMirror.start();
    return {
      client,
      store,
      write: (value: string) => {
        const text = Buffer.from(value).toString('base64');
        store.write({ puts: [{ key: KEY, value: text, lease: 0 }], removes: [] });
      },
      waitForValue: (value: string) =>
        waitFor(async () => startedMirror.tryGet(KEY)?.value === value),
    };
  }
});
