import type PoolPolicy from '../../src/pool/PoolPolicy';
import getHash from '../../src/shared/getHash';
import createLruPolicy from './createLruPolicy';

/** Creates a baseline policy that assigns each adapter to one engine by hash, with LRU eviction. */
export default function createStaticPolicy(): PoolPolicy {
  return createLruPolicy((view, model) => {
    const engines = [...view.engines.values()];
    return [engines[getHash(model) % engines.length]];
  });
}
