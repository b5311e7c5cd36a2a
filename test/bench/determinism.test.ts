import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import getArrivals from '../../bench/getArrivals';
import runPolicy from '../../bench/runPolicy';
import Workload from '../../bench/Workload';
import createValuePolicy from '../../src/pool/createValuePolicy';

describe('bench', () => {
  it('gives the same figures for the same seed', () => {
    const file = JSON.parse(readFileSync('bench/workloads/half-restart.json', 'utf8'));
    const workload = Workload.parse({ ...file, durationMs: 120_000 });
    const run = () => {
      const result = runPolicy(workload, getArrivals(workload), createValuePolicy());
      // Decision times are measured in real time and differ between runs.
      return { ...result, decisionMicrosP50: 0, decisionMicrosP99: 0 };
    };
    expect(run()).to.deep.equal(run());
  });
});
