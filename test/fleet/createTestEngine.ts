import type Upstream from '../../src/upstream/Upstream';
import ADAPTERS_PER_ENGINE from './ADAPTERS_PER_ENGINE';
import MODEL from './MODEL';

/** Creates an engine that holds adapters of its own. */
export default function createTestEngine(index: number): Upstream {
  return {
    id: `i-${(0x6ea83171b + index * 0x1f3d5).toString(16)}`,
    startedAt: 1,
    service: 'models',
    address: `10.0.1.${index + 1}:8761`,
    dataCentre: 'x',
    state: 'ready',
    slots: 16,
    softwareVersion: undefined,
    models: [
      {
        name: MODEL,
        version: 1,
        adapters: Array.from({ length: ADAPTERS_PER_ENGINE }, (_, place) => ({
          name: `a${1000 + index * ADAPTERS_PER_ENGINE + place}`,
          version: 1,
        })),
      },
    ],
  };
}
