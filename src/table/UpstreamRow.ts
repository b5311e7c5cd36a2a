import { z } from 'zod';

/** One back end: a model engine with adapter slots, or a plain service. */
const UpstreamRow = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    address: z.string().regex(/^[\d.]+:\d{1,5}$/),
    dataCentre: z.string().min(1).max(64),
    baseModel: z.string().min(1).max(128),
    slots: z.number().int().positive().max(1024),
    batchSize: z.number().int().positive().max(4096),
    /** Whether the engine refuses an order that carries an old fencing number. */
    checksFencing: z.boolean().default(false),
  }),
  z.strictObject({
    kind: z.literal('service'),
    address: z.string().regex(/^[\d.]+:\d{1,5}$/),
    dataCentre: z.string().min(1).max(64),
    /** Services of one name answer the same calls. */
    service: z.string().regex(/^[\w-]{1,64}$/),
    /** Calls that may be repeated, as `METHOD /path-prefix`. */
    idempotentCalls: z.array(z.string().max(256)).max(64).default([]),
  }),
]);
type UpstreamRow = z.infer<typeof UpstreamRow>;

export default UpstreamRow;
