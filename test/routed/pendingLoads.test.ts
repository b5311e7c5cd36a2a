import { expect } from 'chai';
import createPendingLoads from '../../src/engines/createPendingLoads';
import type LoadTarget from '../../src/engines/LoadTarget';
import createVirtualClock from '../scenario/createVirtualClock';

const SLOT_WAIT_MS = 400;
const TARGET: LoadTarget = {
  id: 'e1',
  pending: 0,
  inFlight: 0,
  slots: 16,
  waitMs: 0,
  freeAdapterSlots: 3,
  idleAdapterSlots: 0,
};

describe('createPendingLoads', () => {
  it('does not refuse the first loads after a start before the owners of engines are known', async () => {
    const { clock, fake, results, sent, request } = createTestLoads();
    request('a1');
    await clock.advance(SLOT_WAIT_MS / 2);
    expect(results).to.deep.equal([]);
    fake.targets = [TARGET];
    await clock.advance(100);
    expect(sent).to.deep.equal(['e1 a1']);
  });

  it('ends a load that no engine can take in time, or at once if none is expected', async () => {
    const { clock, fake, results, request } = createTestLoads();
    request('a1');
    await clock.advance(SLOT_WAIT_MS + 100);
    expect(results).to.deep.equal(['a1 false']);
    fake.isTargetExpected = false;
    request('a2');
    expect(results).to.deep.equal(['a1 false', 'a2 false']);
  });
});

function createTestLoads() {
  const clock = createVirtualClock();
  const fake = { targets: [] as LoadTarget[], isTargetExpected: true };
  const results: string[] = [];
  const sent: string[] = [];
  const loads = createPendingLoads({
    ...clock,
    getLoadTargets: () => fake.targets,
    isTargetExpected: () => fake.isTargetExpected,
    sendRequest: (engine, { adapter }) => {
      sent.push(`${engine} ${adapter}`);
      return true;
    },
    isServable: () => false,
    log: () => {},
  });
  const request = (adapter: string) =>
    loads.request(
      {
        model: 'm',
        adapter,
        key: `m/${adapter}`,
        version: 1,
        urgency: 0,
        slotWaitMs: SLOT_WAIT_MS,
      },
      (isLoaded) => results.push(`${adapter} ${isLoaded}`),
    );
  return { clock, fake, results, sent, request };
}
