import { z } from 'zod';

/** The platform's record of one non-idempotent call, by team and key. */
const CallRecord = z.object({
  /** Tells this claim from every other one, so that a lost answer to a write can be checked. */
  nonce: z.string(),
  /** The entry VM that claimed the call. */
  by: z.string(),
  /** Time of day of the claim, in milliseconds. */
  at: z.number(),
  /** Digest of method, path and body: a key stands for one call. */
  fingerprint: z.string(),
  state: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('claimed') }),
    z.object({ kind: z.literal('unknown') }),
    z.object({
      kind: z.literal('done'),
      answer: z.object({ status: z.number(), contentType: z.string(), body: z.string() }),
    }),
  ]),
});
type CallRecord = z.infer<typeof CallRecord>;

export default CallRecord;
