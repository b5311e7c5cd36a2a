import { expect } from 'chai';
import chooseCarrier from '../../src/forwarding/chooseCarrier';
import type AttemptOutcome from '../../src/gateway/AttemptOutcome';
import type ResponseHead from '../../src/gateway/ResponseHead';
import createTestRequest from './createTestRequest';

const HEAD: ResponseHead = {
  status: 500,
  headers: [],
  id: 'q1',
  isNotRun: false,
  limit: { kind: 'none' },
  isLeaving: false,
  isBrittle: false,
  load: undefined,
  rest: { kind: 'none' },
};
const FAILED: AttemptOutcome = { kind: 'failed', head: HEAD, body: Buffer.from('no') };
const REFUSED: AttemptOutcome = {
  kind: 'refused',
  head: { ...HEAD, status: 503, headers: [['retry-after', '0.4']] },
  body: Buffer.from('busy'),
};

describe('requests that another VM carries', () => {
  it('run on no more upstreams than their route allows, over all VMs', async () => {
    const test = createTestRequest({ attempts: 2 }, [], true, [FAILED, FAILED]);
    await test.run();
    expect(test.forwards).to.deep.equal([{ vm: 'vm1', attempts: 2 }]);
    expect(test.response.status).to.equal(500);
  });

  it('are carried with the attempts that are left after a response was lost', async () => {
    const test = createTestRequest({ attempts: 2 }, [{ kind: 'reset' }], true, [undefined, FAILED]);
    await test.run();
    expect(test.forwards).to.deep.equal([{ vm: 'vm1', attempts: 1 }]);
  });

  it('are passed to another VM if the first one did not take them', async () => {
    const notSent: AttemptOutcome = { kind: 'notSent', reason: 'carrier' };
    const test = createTestRequest({ attempts: 2 }, [], true, [notSent, REFUSED]);
    await test.run();
    expect(test.forwards.map(({ vm }) => vm)).to.deep.equal(['vm1', 'vm2']);
    expect(test.response.status).to.equal(503);
    expect(test.response.headers.get('retry-after')).to.equal('0.4');
  });

  it('are failed and not refused if an upstream may have run them before', async () => {
    const test = createTestRequest({ attempts: 2 }, [{ kind: 'reset' }], true, [
      undefined,
      REFUSED,
    ]);
    await test.run();
    expect(test.response.status).to.equal(502);
  });

  it('are spread over VMs, and go to the less loaded and nearer ones', () => {
    const carriers = [
      { address: 'a', dataCentre: 'x', inFlight: 3 },
      { address: 'b', dataCentre: 'y', inFlight: 3 },
      { address: 'c', dataCentre: 'y', inFlight: 90 },
    ];
    const draws = [0, 0.5, 0.9];
    const choose = (first: number, second: number) => {
      const drawn = [first, second];
      return chooseCarrier(carriers, 'x', () => drawn.shift()!)!.address;
    };
    const chosen = draws.flatMap((first) => draws.map((second) => choose(first, second)));
    expect(chosen.filter((address) => address === 'a')).to.have.length(5);
    expect(chosen.filter((address) => address === 'c')).to.have.length(1);
    expect(chooseCarrier([], 'x', () => 0)).to.equal(undefined);
  });
});
