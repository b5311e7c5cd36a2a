import { readFileSync, readdirSync } from 'node:fs';
import { expect } from 'chai';
import parseScenario from './parseScenario';
import runScenario from './runScenario';

const FOLDER = 'test/scenarios';

describe('scenarios', () => {
  readdirSync(FOLDER).forEach((file) => {
    it(`${file} holds`, async () => {
      const steps = parseScenario(file, readFileSync(`${FOLDER}/${file}`, 'utf8'));
      const { failures: faults } = await runScenario(steps);
      expect(faults).to.deep.equal([]);
    });
  });
});

describe('scenario language', () => {
  const getFault = async (text: string) =>
    (await runScenario(parseScenario('x.scenario', text))).failures[0];

  it('reports an invalid step with file, line and the expected forms', async () => {
    expect(await getFault('vms 2\n\nfreze vm1')).to.match(/^x\.scenario:3: freze vm1: not a step/);
    expect(await getFault('wait soon')).to.match(/x\.scenario:1: .*expected a number/);
    expect(await getFault('vms 1\nkill vm9')).to.match(/x\.scenario:2: .*there is no vm9/);
  });

  it('reports an expectation that is not met', async () => {
    const text = 'vms 1\nengine e1 slots 1 checks\nadapter a v1\nstart\nexpect key k ran 1';
    expect(await getFault(text)).to.equal('x.scenario:5: expect key k ran 1: ran 0 times');
  });
});
