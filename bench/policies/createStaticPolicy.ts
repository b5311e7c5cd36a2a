import type PoolPolicy from '../../src/pool/PoolPolicy';
import getHash from '../../src/shared/getHash';
import createLruPolicy from './createLruPolicy';

/** Baseline: each adapter has one home engine by hash; the rest is as least recently used. */
export default function createStaticPolicy(): PoolPolicy {
  return createLruPolicy((view, model) => {
    const engines = [...view.engines.values()];
    return [engines[getHash(model) % engines.length]];
  });
}
