import { z } from 'zod';

const Fault = z.discriminatedUnion('kind', [
  z.strictObject({ atMs: z.number(), kind: z.literal('restart'), target: z.string() }),
  z.strictObject({ atMs: z.number(), kind: z.literal('storeSlow'), target: z.number() }),
  z.strictObject({ atMs: z.number(), kind: z.literal('loadFailures'), target: z.number() }),
]);

/** Schema of a workload file. */
const Workload = z.strictObject({
  seed: z.number().int(),
  durationMs: z.number().positive(),
  adapters: z.number().int().positive(),
  stallWeight: z.number().min(0).max(1).default(0.7),
  engines: z.array(
    z.strictObject({
      id: z.string(),
      slots: z.number().int().positive(),
      batchSize: z.number().int().positive(),
      tokenMs: z.number().positive(),
      tokenMsPerExtra: z.number().min(0),
      dataCentre: z.string(),
    }),
  ),
  store: z.strictObject({
    loadsPerSecond: z.number().positive(),
    loadMs: z.number().positive(),
    maxInFlight: z.number().int().positive(),
  }),
  loadReportLagMs: z.number().min(0),
  arrivals: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('zipf'),
      ratePerSecond: z.number().positive(),
      exponent: z.number().positive(),
      shifts: z.array(z.strictObject({ atMs: z.number(), rotate: z.number().int() })),
    }),
    z.strictObject({
      kind: z.literal('list'),
      requests: z.array(
        z.strictObject({
          atMs: z.number(),
          adapter: z.string(),
          class: z.enum(['interactive', 'deferrable']),
          tokens: z.number().int().positive(),
          priority: z.number().int(),
        }),
      ),
    }),
  ]),
  deadlinesMs: z.strictObject({ interactive: z.number(), deferrable: z.number() }),
  faults: z.array(Fault),
});
type Workload = z.infer<typeof Workload>;

export default Workload;
