import { z } from 'zod';

const port = z.coerce.number().int().min(1).max(65535);
const milliseconds = z.coerce.number().int().positive();
const url = z.url({ protocol: /^https?$/ });

/** The settings of `serve`. Each is a flag and a `BAOBABLINK_*` variable. */
const Settings = z.strictObject({
  listenHost: z.ipv4().describe('IP number to listen on'),
  port: port.default(8080).describe('port for callers and operators'),
  meshPort: port.default(7080).describe('port for the other entry VMs'),
  dataCentre: z.string().min(1).describe('data centre of this VM'),
  platformUrl: url.describe('URL of the key-value service'),
  vmListUrl: url.describe('URL of the list of VMs'),
  clusterKey: z
    .string()
    .min(16, 'must have at least 16 characters')
    .describe('secret that entry VMs prove to each other'),
  operatorToken: z
    .string()
    .min(16, 'must have at least 16 characters')
    .optional()
    .describe('token of the operator who may edit every sheet'),
  seeds: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((seed) => seed !== ''))
    .describe('ip:port of other entry VMs, comma-separated'),
  tlsCert: z.string().optional().describe('PEM file of the certificate for callers'),
  tlsKey: z.string().optional().describe('PEM file of the key for callers'),
  loadsPerSecond: z.coerce.number().positive().default(3).describe('rate of the weight store'),
  maxLoadsInFlight: z.coerce.number().int().positive().default(8).describe('loads at one time'),
  loadMs: milliseconds.default(250).describe('expected time of one load'),
  stallWeight: z.coerce
    .number()
    .min(0)
    .max(1)
    .default(0.7)
    .describe('1 avoids stalls, 0 fills batches'),
  leaseSeconds: z.coerce.number().int().min(2).default(4).describe('lease of a member'),
  interactiveDeadlineMs: milliseconds.default(8000).describe('longest wait, interactive'),
  deferrableDeadlineMs: milliseconds.default(600_000).describe('longest wait, deferrable'),
  serviceTimeoutMs: milliseconds.default(10_000).describe('longest wait for a service'),
  callKeptSeconds: z.coerce
    .number()
    .int()
    .min(60)
    .default(86_400)
    .describe('how long the outcome of a call is kept'),
  firstTokenSilenceMs: milliseconds.default(2500).describe('silence before a first token'),
  silenceMs: milliseconds.default(1000).describe('silence between tokens'),
  maxBodyBytes: z.coerce.number().int().positive().default(1_048_576).describe('largest body'),
  bodyTimeoutMs: milliseconds.default(10_000).describe('longest time for a body'),
  handedOutMs: milliseconds.default(5000).describe('how long an answer of where holds'),
  stopDeadlineMs: milliseconds.default(120_000).describe('longest graceful stop'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('least level'),
});
type Settings = z.infer<typeof Settings>;

export default Settings;
