import { z } from 'zod';

const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/);

/**
 * Schema of the value of a team row: the keys of its callers and the tokens of its operators, both
 * as SHA-256 digests in hexadecimal, and its limits.
 */
const TeamRow = z.strictObject({
  keys: z.array(sha256Hex).max(32).default([]),
  operators: z
    .array(z.strictObject({ token: sha256Hex, role: z.enum(['reader', 'editor']) }))
    .max(64)
    .default([]),
  /** Relative share of busy engines for this team. Stored only: no scheduling decision uses it. */
  weight: z.number().positive().max(1000).default(1),
  limits: z
    .strictObject({
      requestsPerSecond: z.number().positive().max(100000).optional(),
      inFlight: z.number().int().positive().max(100000).optional(),
    })
    .default({}),
});
type TeamRow = z.infer<typeof TeamRow>;

export default TeamRow;
