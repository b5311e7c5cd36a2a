import { expect } from 'chai';
import type Grant from '../../src/allowances/Grant';
import createTestRequest from './createTestRequest';

const SEEN = {
  reason: 'exceeded' as const,
  holder: 'vm',
  amount: 900,
  level: 0,
  lent: 0,
  capacity: 1,
  ageMs: 3,
};

describe('a request under an allowance', () => {
  it('is refused with 429 and the time of the account, and not placed', async () => {
    const test = createTest(async () => ({ kind: 'refused', retryAfterMs: 1250, seen: SEEN }));
    await test.run();
    expect(test.response.status).to.equal(429);
    expect(test.response.headers.get('retry-after')).to.equal('1.25');
    expect(test.placements).to.deep.equal([]);
  });

  it('reaches no upstream if its caller disconnects or its VM stops while it waits', async () => {
    await Promise.all(
      (['disconnectCaller', 'stopVm'] as const).map(async (event) => {
        const test = createTest(() => {
          test[event]();
          return Promise.resolve(GRANTED);
        });
        await test.run();
        expect(test.placements).to.deep.equal([]);
        expect(test.response.status).to.equal(event === 'stopVm' ? 503 : 0);
      }),
    );
  });

  it('is refused, not sent, if its deadline passes while it waits', async () => {
    const test = createTest(
      () =>
        new Promise((resolve) => {
          test.clock.setTimer(2500, () => resolve(GRANTED));
        }),
    );
    await test.run();
    expect(test.response.status).to.equal(503);
    expect(test.placements).to.deep.equal([]);
  });

  it('ends the use of its share as sent once an upstream has got it', async () => {
    const ended: boolean[] = [];
    const end = (_: number, isSent: boolean) => ended.push(isSent);
    const test = createTest(async () => ({ ...GRANTED, end }));
    await test.run();
    expect(test.response.status).to.equal(200);
    expect(ended).to.deep.equal([true]);
  });
});

const GRANTED = { kind: 'granted' as const, trySpend: () => true, end: () => {} };

function createTest(acquire: () => Promise<Grant>) {
  const response = { kind: 'response' as const, status: 200, body: 'ok' };
  return createTestRequest({}, [response], true, [], acquire);
}
