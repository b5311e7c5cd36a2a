import { expect } from 'chai';
import type Organisation from '../../src/manifest/Organisation';
import createTestFleet from './createTestFleet';

const ORGANISATION: Organisation = {
  name: 'o',
  urgency: undefined,
  allowance: { unit: 'tokens', perSecond: 4200, burst: 4200, defaultTokens: 900 },
};

describe('the holder of allowances', () => {
  [1, 8, 61].forEach((vms) =>
    it(`is elected among ${vms} VMs with all their controllers, once and soon`, async () => {
      const fleet = createTestFleet({ vms, organisations: new Map([['key', ORGANISATION]]) });
      const startedAt = fleet.clock.now();
      await fleet.start();
      await fleet.clock.advance(4000);
      const elected = fleet.events.filter(({ name }) => name === 'allowanceHolderElected');
      expect(elected.map(({ vm }) => vm)).to.have.lengthOf(1);
      expect(elected[0].at - startedAt).to.be.at.most(3000);
      expect(fleet.refusedMessages).to.deep.equal([]);
    }),
  );

  it('is replaced when it fails', async () => {
    const fleet = createTestFleet({ vms: 8, organisations: new Map([['key', ORGANISATION]]) });
    await fleet.start();
    const getElected = () => fleet.events.filter(({ name }) => name === 'allowanceHolderElected');
    const failedAt = fleet.clock.now();
    fleet.restartVm(getElected()[0].vm, 60_000);
    await fleet.clock.advance(3000);
    expect(getElected()).to.have.lengthOf(2);
    expect(getElected()[1].at - failedAt).to.be.at.most(1500);
  });

  it('is not elected, and sends nothing, without an allowance in the manifest', async () => {
    const organisation = { ...ORGANISATION, allowance: undefined };
    const fleet = createTestFleet({ vms: 3, organisations: new Map([['key', organisation]]) });
    await fleet.start();
    expect(fleet.events.filter(({ name }) => name.startsWith('allowance'))).to.deep.equal([]);
  });
});
