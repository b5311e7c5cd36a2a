import { execFileSync } from 'node:child_process';
import { expect } from 'chai';
import createTrial from '../../scripts/createTrial';
import createLoad from './createLoad';
import createRelay from '../../standins/createRelay';

const VMS = 4;
const ADAPTERS = 30;
const BEYOND_LEASE_MS = 7000;
const RELAY = '127.0.40.2:2379';

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** In separate processes: verdicts on what was lost, doubled or wrong, never on speed. */
describe('separate processes', () => {
  let trial: ReturnType<typeof createTrial>;
  let relay: ReturnType<typeof createRelay>;
  let live: number[];

  before(async () => {
    execFileSync('bash', ['scripts/build.sh'], { stdio: 'pipe' });
    relay = createRelay(RELAY, '127.0.40.1:2379');
    trial = createTrial({
      binary: ['node', 'dist/baobablink.cjs'],
      vms: VMS,
      network: 40,
      getPlatformAddress: (index) => (index === 2 ? RELAY : undefined),
    });
    live = [1, 2, 3, 4];
    await trial.start();
    await trial.fillTable(ADAPTERS);
    await wait(2000);
  });

  after(async () => {
    await trial.stop();
    relay.close();
  });

  async function runUnderLoad(action: () => Promise<void>): Promise<void> {
    const load = createLoad(trial, () => live.map(trial.getVmUrl), ADAPTERS);
    await wait(1500);
    await action();
    await wait(1500);
    await load.stop();
    expect(load.seen.wrong).to.deep.equal([]);
    expect(load.seen.whole).to.be.greaterThan(0);
    const ran = JSON.parse((await trial.call('GET', `http://${trial.service}/ran`)).text);
    load.seen.keys.forEach(({ key, status, ran: told }) => {
      const times = ran[JSON.stringify({ key })] ?? 0;
      expect(times, `${key} ran`).to.be.at.most(1);
      if (status === 200) {
        expect(times, `${key} was answered`).to.equal(1);
      }
      if (told === 'no') {
        expect(times, `${key} was "not run"`).to.equal(0);
      }
    });
    for (let index = 1; index <= 3; index += 1) {
      const url = `http://${trial.getEngineAddress(index)}/violations`;
      expect((await trial.call('GET', url)).text).to.equal('[]');
    }
  }

  async function getOwner(): Promise<number> {
    const answer = await trial.callAsOperator('GET', `${trial.getVmUrl(live[0])}/v1/status`);
    const { pools } = JSON.parse(answer.text) as { pools: { owner: string }[] };
    return Number(pools[0].owner.split(':')[0].split('.')[3]);
  }

  it('SIGSTOP of the owner beyond its lease, then SIGCONT', async () => {
    await runUnderLoad(async () => {
      const owner = await getOwner();
      const { pid } = trial.getChild(`vm${owner}`)!;
      live = live.filter((index) => index !== owner);
      process.kill(pid!, 'SIGSTOP');
      await wait(BEYOND_LEASE_MS);
      process.kill(pid!, 'SIGCONT');
      await wait(2000);
      live = [1, 2, 3, 4];
    });
  });

  it('platform down for longer than every lease', async () => {
    await runUnderLoad(async () => {
      await trial.call('POST', `http://${trial.platform}/fault`, { down: true });
      await wait(BEYOND_LEASE_MS);
      await trial.call('POST', `http://${trial.platform}/fault`, { down: false });
      await wait(2000);
    });
  });

  it('one VM cut off from the platform, then its connections silent', async () => {
    await runUnderLoad(async () => {
      relay.setMode('cut');
      await wait(BEYOND_LEASE_MS);
      relay.setMode('silent');
      await wait(BEYOND_LEASE_MS);
      relay.setMode('open');
      await wait(2000);
    });
  });

  it('SIGTERM under load: nothing is cut and the exit code is 0', async () => {
    await runUnderLoad(async () => {
      const owner = await getOwner();
      live = live.filter((index) => index !== owner);
      expect(await trial.stopChild(`vm${owner}`, 'SIGTERM')).to.equal(0);
      trial.startVm(owner);
      await wait(3000);
      live = [1, 2, 3, 4];
    });
  });

  it('SIGKILL of the owner under load', async () => {
    await runUnderLoad(async () => {
      const owner = await getOwner();
      await trial.stopChild(`vm${owner}`, 'SIGKILL');
      live = live.filter((index) => index !== owner);
      await wait(4000);
    });
  });
});
