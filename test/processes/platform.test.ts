import { expect } from 'chai';
import createRandom from '../../bench/createRandom';
import createCallers from '../../scripts/platform/createCallers';
import createPlatformTrial from '../../scripts/platform/createPlatformTrial';

const ADAPTERS = 20;
const CALM_MS = 4000;
const LEASE_MS = 3000;
const AFTER_KILL_MS = 9000;

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Entry VMs as the platform starts them; verdicts on what was lost, doubled or wrong. */
describe('separate processes on the platform', () => {
  let trial: ReturnType<typeof createPlatformTrial>;

  before(async () => {
    trial = createPlatformTrial({ vms: 3, engines: 3 });
    await trial.start();
  });

  after(() => trial.stop());

  async function play(name: string, action: () => Promise<void>): Promise<number[]> {
    const callers = createCallers(trial, {
      name,
      random: createRandom(3),
      adapters: ADAPTERS,
      pauseMs: 15,
    });
    const running = callers.run();
    await action();
    await callers.stop();
    await running;
    const ledger = await trial.getExecutionRecord();
    expect(callers.getViolations(ledger)).to.deep.equal([]);
    expect(ledger.faults).to.deep.equal([]);
    expect(trial.exits).to.deep.equal([]);
    return callers.getResults().map(({ status }) => status);
  }

  it('serve a calm run whole and once, on the right adapter', async () => {
    const statuses = await play('calm', () => wait(CALM_MS));
    expect(statuses.filter((status) => status === 200)).not.to.have.length(0);
  });

  it('go on when an owner of engines is killed and comes back', async () => {
    const owner = trial.vms.find((vm) => trial.getLog(vm).includes('"engineTaken"'))!;
    await play('kill', async () => {
      await wait(1000);
      await trial.endProcess(owner, 'SIGKILL');
      await wait(AFTER_KILL_MS);
      trial.startVm(owner);
      await trial.waitUntilReady(owner);
      await wait(1000);
    });
  });

  it('read changed settings again, and keep the old ones where the new ones are faulty', async () => {
    const [vm] = trial.vms;
    trial.changeSettings(vm, (text) => text.replace('GraceS = 4', 'GraceS = "soon"'));
    await waitForLog(vm, 'Bounds.GraceS');
    trial.changeSettings(vm, (text) => text.replace('RetrySlack = 56', 'RetrySlack = 20'));
    await waitForLog(vm, '"accepted":true');
    trial.changeSettings(vm, (text) => text.replace('RetrySlack = 56', 'RetrySlack = 30'));
    trial.signal(vm, 'SIGHUP');
    await waitForLog(vm, '"cause":"SIGHUP"');
  });

  it('serve again after all were killed, also a VM that the store refuses', async () => {
    const [refused] = trial.vms;
    trial.storeRelays.get(refused)!.setMode('cut');
    await Promise.all(trial.vms.map((vm) => trial.endProcess(vm, 'SIGKILL')));
    await wait(LEASE_MS + 500);
    trial.vms.forEach(trial.startVm);
    await Promise.all(trial.vms.map(trial.waitUntilReady));
    trial.storeRelays.get(refused)!.setMode('open');
    await play('back', () => wait(CALM_MS));
  });

  async function waitForLog(vm: string, text: string): Promise<void> {
    while (!trial.getLog(vm).includes(text)) {
      await wait(100);
    }
  }

  it('stop on SIGTERM with status 0 and what was begun brought to its end', async () => {
    const [vm] = trial.vms;
    await play('stop', async () => {
      await wait(1000);
      await trial.endProcess(vm, 'SIGTERM');
      trial.startVm(vm);
      await trial.waitUntilReady(vm);
    });
    expect(trial.getLog(vm)).to.include('"stopped"');
  });
});
