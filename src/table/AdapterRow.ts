import { z } from 'zod';

const Version = z.strictObject({
  name: z.string().regex(/^[\w.-]{1,64}$/),
  /**
   * Relative share of the requests that specify no version. A gradual rollout lowers the weight of
   * the old version to 0.
   */
  weight: z.number().min(0).max(1000).default(1),
});

/** Schema of the value of an adapter row, as operators edit it. */
const AdapterRow = z.strictObject({
  team: z.string().regex(/^[\w.-]{1,64}$/),
  baseModel: z.string().min(1).max(128),
  versions: z.array(Version).min(1).max(16),
  /** Version for requests that specify none, used if all versions have weight 0. */
  currentVersion: z.string().min(1).max(64),
  weight: z.number().positive().max(1000).default(1),
  priority: z.number().int().min(0).max(9).default(5),
  class: z.enum(['interactive', 'deferrable']).default('interactive'),
  limits: z
    .strictObject({
      requestsPerSecond: z.number().positive().max(100000).optional(),
      inFlight: z.number().int().positive().max(100000).optional(),
      queue: z.number().int().min(0).max(100000).optional(),
    })
    .default({}),
  homeDataCentres: z.array(z.string().min(1).max(64)).max(32).optional(),
});
type AdapterRow = z.infer<typeof AdapterRow>;

export default AdapterRow;
