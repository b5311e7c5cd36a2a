import { z } from 'zod';

/**
 * Settings of `serve-platform`, an entry VM that routes by the platform's manifest. All other
 * settings are read from `settingsFile`.
 */
const PlatformSettings = z.object({
  settingsFile: z.string().min(1).describe("path of the platform's settings file"),
  clusterKey: z
    .string()
    .min(8)
    .describe('shared secret by which entry VMs authenticate each other'),
  metricsPort: z.coerce
    .number()
    .int()
    .min(1)
    .max(65_535)
    .default(9464)
    .describe('port that serves /metrics'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('lowest level that is logged'),
});

export default PlatformSettings;
