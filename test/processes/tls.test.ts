import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { Agent, request } from 'undici';

const HOST = '127.0.46.1';
const ORIGIN = `https://${HOST}:8443`;

describe('TLS', () => {
  it('serves callers over TLS with the configured key and certificate', async () => {
    const child = spawn('node', ['--import', 'tsx', 'src/main.ts', 'serve'], {
      stdio: 'ignore',
      env: {
        ...process.env,
        BAOBABLINK_LISTEN_HOST: HOST,
        BAOBABLINK_PORT: '8443',
        BAOBABLINK_DATA_CENTRE: 'dc1',
        BAOBABLINK_PLATFORM_URL: `http://${HOST}:1`,
        BAOBABLINK_VM_LIST_URL: `http://${HOST}:1/vms`,
        BAOBABLINK_CLUSTER_KEY: 'a-test-cluster-key',
        BAOBABLINK_TLS_CERT: 'test/fixtures/tls-cert.pem',
        BAOBABLINK_TLS_KEY: 'test/fixtures/tls-key.pem',
        BAOBABLINK_HANDED_OUT_MS: '100',
      },
    });
    const ca = readFileSync('test/fixtures/tls-cert.pem', 'utf8');
    const agent = new Agent({ connect: { ca } });
    let status = 0;
    while (status === 0) {
      status = await request(`${ORIGIN}/healthz`, { dispatcher: agent }).then(
        async (response) => {
          await response.body.text();
          return response.statusCode;
        },
        () => 0,
      );
    }
    expect(status).to.equal(200);
    const ready = await request(`${ORIGIN}/readyz`, { dispatcher: agent });
    expect(ready.statusCode, 'without platform and peers').to.equal(503);
    await agent.close();
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGTERM');
    expect(await exited).to.equal(0);
  });
});
