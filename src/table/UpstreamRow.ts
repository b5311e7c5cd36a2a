import { z } from 'zod';

/**
 * Schema of the value of an upstream row: a model engine with adapter slots, or a plain service.
 */
const UpstreamRow = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    address: z.string().regex(/^[\d.]+:\d{1,5}$/),
    dataCentre: z.string().min(1).max(64),
    baseModel: z.string().min(1).max(128),
    slots: z.number().int().positive().max(1024),
    batchSize: z.number().int().positive().max(4096),
    /** Whether the engine rejects a command that has an outdated fencing number. */
    checksFencing: z.boolean().default(false),
  }),
  z.strictObject({
    kind: z.literal('service'),
    address: z.string().regex(/^[\d.]+:\d{1,5}$/),
    dataCentre: z.string().min(1).max(64),
    /** Service name. Upstreams with the same service name are interchangeable. */
    service: z.string().regex(/^[\w-]{1,64}$/),
    /** Calls that are safe to retry, each in the form `METHOD /path-prefix`. */
    idempotentCalls: z.array(z.string().max(256)).max(64).default([]),
  }),
]);
type UpstreamRow = z.infer<typeof UpstreamRow>;

export default UpstreamRow;
