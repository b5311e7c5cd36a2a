import { z } from 'zod';

const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/);

/** One team: its callers' keys and operators' tokens as SHA-256 digests, and its limits. */
const TeamRow = z.strictObject({
  keys: z.array(sha256Hex).max(32).default([]),
  operators: z
    .array(z.strictObject({ token: sha256Hex, role: z.enum(['reader', 'editor']) }))
    .max(64)
    .default([]),
  /** Share of the engines against other teams when they are busy. */
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
