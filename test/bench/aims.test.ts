import { readFileSync, readdirSync } from 'node:fs';
import { expect } from 'chai';
import runWorkload from '../../bench/runWorkload';
import Workload from '../../bench/Workload';
import createValuePolicy from '../../src/pool/createValuePolicy';

const FOLDER = 'bench/workloads';
const workloadNames = readdirSync(FOLDER)
  .filter((file) => file.endsWith('.json'))
  .map((file) => file.replace('.json', ''));

/** The bounds are the stated aims. Ratios compare with `lru-least-loaded` in the same run. */
workloadNames.forEach((name) => {
  describe(`decisions on ${name}`, () => {
    let result: ReturnType<typeof runWorkload>;
    before(() => {
      const workload = Workload.parse(JSON.parse(readFileSync(`${FOLDER}/${name}.json`, 'utf8')));
      result = runWorkload(name, workload, createValuePolicy());
    });
    const getRatio = (field: 'stallMeanMs' | 'stalledFraction' | 'stallP99Ms' | 'batchFill') =>
      result.policies.baobablink[field] / result.policies['lru-least-loaded'][field];

    it(`${name}: nothing is lost, doubled, wrong or evicted in service`, () => {
      Object.values(result.policies).forEach((policy) => {
        expect(policy.evictionsInService).to.equal(0);
        expect(policy.wrongAdapter).to.equal(0);
        expect(policy.lost).to.equal(0);
        expect(policy.doubled).to.equal(0);
        expect(policy.mostLoadsInOneSecond).to.be.at.most(3);
      });
    });

    it(`${name}: stalls are never above the baseline's`, () => {
      expect(getRatio('stalledFraction')).to.be.at.most(1);
      expect(getRatio('stallMeanMs')).to.be.at.most(1);
      expect(getRatio('stallP99Ms')).to.be.at.most(1.1);
    });

    if (/(ordinary|rush)$/.test(name)) {
      it(`${name}: stalled fraction at most 0.8 and stall mean at most 0.5`, () => {
        expect(getRatio('stalledFraction')).to.be.at.most(0.8);
        expect(getRatio('stallMeanMs')).to.be.at.most(0.5);
      });
    }

    if (name !== 'overload' && !name.endsWith('crowded')) {
      it(`${name}: two thirds of the way to the bound in stall mean`, () => {
        const { 'lru-least-loaded': baseline, clairvoyant: bound, baobablink } = result.policies;
        const fraction =
          (baseline.stallMeanMs - baobablink.stallMeanMs) /
          (baseline.stallMeanMs - bound.stallMeanMs);
        expect(fraction).to.be.at.least(2 / 3);
      });
    }

    it(`${name}: batch fill at least 1.15 packed, 1.0 otherwise`, () => {
      expect(getRatio('batchFill')).to.be.at.least(name.startsWith('pritchard') ? 1.15 : 1);
    });

    if (name === 'overload') {
      it('overload: answered within the deadline at least 1.3 times', () => {
        const { 'lru-least-loaded': baseline, baobablink } = result.policies;
        expect(baobablink.answered - baobablink.late).to.be.at.least(
          1.3 * (baseline.answered - baseline.late),
        );
      });
    }
  });
});
