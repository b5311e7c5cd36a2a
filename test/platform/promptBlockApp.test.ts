import { expect } from 'chai';
import createPromptBlockApp from '../../src/operators/createPromptBlockApp';

describe('createPromptBlockApp', () => {
  const lifted: string[] = [];
  const promptGuard = {
    getBlocked: () => [{ part: 'bad', version: 1, changedAt: 40 }],
    lift: (_: number, part: string) => part === 'bad' && lifted.push(part) > 0,
  };
  const app = createPromptBlockApp({ now: () => 100, promptGuard }, { clusterKey: 'key' });

  it('lists the blocked parts', async () => {
    const response = await app.request('/prompt-blocks');
    expect(await response.json()).to.deep.equal({
      blocks: [{ part: 'bad', version: 1, ageMs: 60 }],
    });
  });

  it('lifts a block only with the cluster key, and only one that exists', async () => {
    const lift = async (part: string, key: string) => {
      const headers = { authorization: `Bearer ${key}` };
      return (await app.request(`/prompt-blocks/${part}`, { method: 'DELETE', headers })).status;
    };
    expect(await lift('bad', 'wrong')).to.equal(401);
    expect(lifted).to.deep.equal([]);
    expect(await lift('good', 'key')).to.equal(404);
    expect(await lift('bad', 'key')).to.equal(204);
    expect(lifted).to.deep.equal(['bad']);
  });
});
