import { z } from 'zod';

/** The key-value service's record of one non-idempotent call, stored by team and key. */
const CallRecord = z.object({
  /** Unique for each claim: shows which claim is stored after the response to a write was lost. */
  nonce: z.string(),
  /** The entry VM that claimed the call. */
  by: z.string(),
  /** Time of day of the claim, in milliseconds. */
  at: z.number(),
  /** Digest of method, path and body, which detects a key that is reused for another call. */
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
