import type PoolPolicy from '../src/pool/PoolPolicy';
import getArrivals from './getArrivals';
import createClairvoyantPolicy from './policies/createClairvoyantPolicy';
import createLruPolicy from './policies/createLruPolicy';
import createStaticPolicy from './policies/createStaticPolicy';
import runPolicy from './runPolicy';
import type Workload from './Workload';

/** Runs a workload under the product's policy, the baselines and the clairvoyant bound. */
export default function runWorkload(name: string, workload: Workload, product: PoolPolicy) {
  const arrivals = getArrivals(workload);
  const policies: Record<string, ReturnType<typeof runPolicy>> = {
    baobablink: runPolicy(workload, arrivals, product),
    'lru-least-loaded': runPolicy(workload, arrivals, createLruPolicy()),
    static: runPolicy(workload, arrivals, createStaticPolicy()),
    clairvoyant: runPolicy(workload, arrivals, createClairvoyantPolicy(arrivals)),
  };
  const bound = policies.clairvoyant.stallMeanMs;
  const better = Object.keys(policies).filter((policy) => policies[policy].stallMeanMs < bound);
  return {
    workload: name,
    policies,
    bound:
      better.length === 0
        ? 'clairvoyant is a bound here'
        : `clairvoyant is no bound here: ${better.join(', ')} beat it in stall mean`,
  };
}
