import type Manifest from '../../src/manifest/Manifest';
import type Service from '../../src/manifest/Service';
import ADAPTERS_PER_ENGINE from './ADAPTERS_PER_ENGINE';
import MODEL from './MODEL';

/** Creates a manifest with a route of each kind. */
export default function createManifest(
  version: number,
  adapterSlots = ADAPTERS_PER_ENGINE,
): Manifest {
  return {
    version,
    routes: [
      {
        name: 'chat',
        host: 'fleet.example',
        pathPrefix: '/chat/',
        kind: 'stream',
        timeoutMs: 10_000,
        latencyObjectiveMs: 600,
        pauseObjectiveMs: 300,
        attempts: 1,
        urgency: 1,
        isResumable: false,
        isPublic: false,
        targets: [{ service: 'models', weight: 1 }],
      },
      {
        name: 'call',
        host: 'fleet.example',
        pathPrefix: '/call/',
        kind: 'nonIdempotent',
        timeoutMs: 10_000,
        latencyObjectiveMs: 400,
        pauseObjectiveMs: undefined,
        attempts: 1,
        urgency: 1,
        isResumable: false,
        isPublic: false,
        targets: [{ service: 'desk', weight: 1 }],
      },
      {
        name: 'talk',
        host: 'fleet.example',
        pathPrefix: '/talk/',
        kind: 'stream',
        timeoutMs: 15_000,
        latencyObjectiveMs: 1000,
        pauseObjectiveMs: 300,
        attempts: 2,
        urgency: 1,
        isResumable: true,
        isPublic: false,
        targets: [{ service: 'desk', weight: 1 }],
      },
      {
        name: 'look',
        host: 'fleet.example',
        pathPrefix: '/look/',
        kind: 'idempotent',
        timeoutMs: 4000,
        latencyObjectiveMs: 400,
        pauseObjectiveMs: undefined,
        attempts: 2,
        urgency: 1,
        isResumable: false,
        isPublic: false,
        targets: [{ service: 'desk', weight: 1 }],
      },
    ],
    services: new Map<string, Service>([
      ['desk', { name: 'desk', maxConnections: 500, engine: undefined }],
      [
        'models',
        {
          name: 'models',
          maxConnections: 500,
          engine: {
            batchSlots: 16,
            adapterSlots,
            memoryMb: 36_000,
            models: [{ name: MODEL, sizeMb: 34_300, loadMs: 1000, adapterSizeMb: 40 }],
          },
        },
      ],
    ]),
    organisations: undefined,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}
