import { expect } from 'chai';
import createBlockApp from '../../src/operators/createBlockApp';

describe('createBlockApp', () => {
  const lifted: string[] = [];
  const crashGuard = {
    getBlocked: () => [{ trait: 'part:bad', version: 1, changedAt: 40 }],
    lift: (_: number, trait: string) => trait === 'part:bad' && lifted.push(trait) > 0,
  };
  const app = createBlockApp({ now: () => 100, crashGuard }, { clusterKey: 'key' });

  it('lists the blocked traits', async () => {
    const response = await app.request('/blocks');
    expect(await response.json()).to.deep.equal({
      blocks: [{ trait: 'part:bad', version: 1, ageMs: 60 }],
    });
  });

  it('lifts a block only with the cluster key, and only one that exists', async () => {
    const lift = async (trait: string, key: string) => {
      const headers = { authorization: `Bearer ${key}` };
      return (await app.request(`/blocks/${trait}`, { method: 'DELETE', headers })).status;
    };
    expect(await lift('part:bad', 'wrong')).to.equal(401);
    expect(lifted).to.deep.equal([]);
    expect(await lift('part:good', 'key')).to.equal(404);
    expect(await lift('part:bad', 'key')).to.equal(204);
    expect(lifted).to.deep.equal(['part:bad']);
  });
});
