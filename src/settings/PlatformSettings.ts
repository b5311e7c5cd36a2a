import { z } from 'zod';

/** Own settings of an entry VM that routes by the platform's manifest. */
const PlatformSettings = z.object({
  settingsFile: z.string().min(1).describe("path of the platform's settings file"),
  clusterKey: z.string().min(8).describe('secret that entry VMs prove to each other'),
  metricsPort: z.coerce
    .number()
    .int()
    .min(1)
    .max(65_535)
    .default(9464)
    .describe('port of /metrics'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('least level'),
});

export default PlatformSettings;
