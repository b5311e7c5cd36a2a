import { execFileSync } from 'node:child_process';
import { expect } from 'chai';
import createTrial from '../../scripts/createTrial';
import createRequestLoad from './createRequestLoad';
import createRelay from '../../standins/createRelay';

const VM_COUNT = 4;
const ADAPTER_COUNT = 30;
const BEYOND_LEASE_MS = 7000;
const RELAY_ADDRESS = '127.0.40.2:2379';

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/**
 * Checks, while VMs or the platform fail, that no completion is wrong, that each service call ran
 * at most once and as its responses say, and that the engines record no violations. Speed is not
 * checked.
 */
describe('separate processes', () => {
  let trial: ReturnType<typeof createTrial>;
  let relay: ReturnType<typeof createRelay>;
  let liveVms: number[];

  before(async () => {
    execFileSync('bash', ['scripts/build.sh'], { stdio: 'pipe' });
    relay = createRelay(RELAY_ADDRESS, '127.0.40.1:2379');
    trial = createTrial({
      binary: ['node', 'dist/baobablink.cjs'],
      vms: VM_COUNT,
      network: 40,
      getPlatformAddress: (index) => (index === 2 ? RELAY_ADDRESS : undefined),
    });
    liveVms = [1, 2, 3, 4];
    await trial.start();
    await trial.fillTable(ADAPTER_COUNT);
    await wait(2000);
  });

  after(async () => {
    await trial.stop();
    relay.close();
  });

  async function runUnderLoad(action: () => Promise<void>): Promise<void> {
    const load = createRequestLoad(trial, () => liveVms.map(trial.getVmUrl), ADAPTER_COUNT);
    await wait(1500);
    await action();
    await wait(1500);
    await load.stop();
    expect(load.results.wrongResponses).to.deep.equal([]);
    expect(load.results.completeCount).to.be.greaterThan(0);
    const runCounts = JSON.parse((await trial.call('GET', `http://${trial.service}/ran`)).text);
    load.results.serviceCalls.forEach(({ key, status, reportedRan }) => {
      const runCount = runCounts[JSON.stringify({ key })] ?? 0;
      expect(runCount, `${key} ran`).to.be.at.most(1);
      if (status === 200) {
        expect(runCount, `${key} got a 200`).to.equal(1);
      }
      if (reportedRan === 'no') {
        expect(runCount, `${key} was "not run"`).to.equal(0);
      }
    });
    for (let index = 1; index <= 3; index += 1) {
      const url = `http://${trial.getEngineAddress(index)}/violations`;
      expect((await trial.call('GET', url)).text).to.equal('[]');
    }
  }

  async function getOwner(): Promise<number> {
    const response = await trial.callAsOperator('GET', `${trial.getVmUrl(liveVms[0])}/v1/status`);
    const { pools } = JSON.parse(response.text) as { pools: { owner: string }[] };
    return Number(pools[0].owner.split(':')[0].split('.')[3]);
  }

  it('SIGSTOP of the owner beyond its lease, then SIGCONT', async () => {
    await runUnderLoad(async () => {
      const owner = await getOwner();
      const { pid } = trial.getChild(`vm${owner}`)!;
      liveVms = liveVms.filter((index) => index !== owner);
      process.kill(pid!, 'SIGSTOP');
      await wait(BEYOND_LEASE_MS);
      process.kill(pid!, 'SIGCONT');
      await wait(2000);
      liveVms = [1, 2, 3, 4];
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

  it('one VM without connections to the platform, then with silent ones', async () => {
    await runUnderLoad(async () => {
      relay.setMode('cut');
      await wait(BEYOND_LEASE_MS);
      relay.setMode('silent');
      await wait(BEYOND_LEASE_MS);
      relay.setMode('open');
      await wait(2000);
    });
  });

  it('SIGTERM of the owner under load: the exit code is 0', async () => {
    await runUnderLoad(async () => {
      const owner = await getOwner();
      liveVms = liveVms.filter((index) => index !== owner);
      expect(await trial.stopChild(`vm${owner}`, 'SIGTERM')).to.equal(0);
      trial.startVm(owner);
      await wait(3000);
      liveVms = [1, 2, 3, 4];
    });
  });

  it('SIGKILL of the owner under load', async () => {
    await runUnderLoad(async () => {
      const owner = await getOwner();
      await trial.stopChild(`vm${owner}`, 'SIGKILL');
      liveVms = liveVms.filter((index) => index !== owner);
      await wait(4000);
    });
  });
});
