import { z } from 'zod';

/**
 * The key-value service's record of a pool's owner. An eviction on an engine that does not check
 * fencing numbers is recorded here as an intent before the unload command is sent. A former owner
 * can't write an intent, so its successor finds here the only names that a delayed command of the
 * former owner may still unload.
 */
const OwnerRecord = z.object({
  owner: z.string(),
  fence: z.number(),
  intents: z.array(z.object({ engine: z.string(), name: z.string() })),
});
type OwnerRecord = z.infer<typeof OwnerRecord>;

export default OwnerRecord;
