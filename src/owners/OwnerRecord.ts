import { z } from 'zod';

/**
 * The platform's record of who decides for a pool. An eviction on an engine that does not check
 * fencing numbers stands here as an intent before it is ordered: a former owner can't write one,
 * and its successor knows the only names that a late order of it may still unload.
 */
const OwnerRecord = z.object({
  owner: z.string(),
  fence: z.number(),
  intents: z.array(z.object({ engine: z.string(), name: z.string() })),
});
type OwnerRecord = z.infer<typeof OwnerRecord>;

export default OwnerRecord;
