import { z } from 'zod';

const port = z.coerce.number().int().min(1).max(65535);
const milliseconds = z.coerce.number().int().positive();
const url = z.url({ protocol: /^https?$/ });

/** Settings of `serve`. Each one is a flag and a `BAOBABLINK_*` environment variable. */
const Settings = z.strictObject({
  listenHost: z.ipv4().describe('IPv4 address to listen on'),
  port: port.default(8080).describe('port for callers and operators'),
  meshPort: port.default(7080).describe('port for the other entry VMs'),
  dataCentre: z.string().min(1).describe('data centre of this VM'),
  platformUrl: url.describe('URL of the key-value service'),
  vmListUrl: url.describe('URL of the list of VMs'),
  clusterKey: z
    .string()
    .min(16, 'must have at least 16 characters')
    .describe('shared secret by which entry VMs authenticate each other'),
  operatorToken: z
    .string()
    .min(16, 'must have at least 16 characters')
    .optional()
    .describe('token of the operator who may edit every table row'),
  seeds: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((seed) => seed !== ''))
    .describe('addresses (ip:port) of other entry VMs, comma-separated'),
  tlsCert: z.string().optional().describe('PEM file of the certificate for callers'),
  tlsKey: z.string().optional().describe('PEM file of the key for callers'),
  loadsPerSecond: z.coerce
    .number()
    .positive()
    .default(3)
    .describe('load rate of the adapter store'),
  maxLoadsInFlight: z.coerce
    .number()
    .int()
    .positive()
    .default(8)
    .describe('maximum number of concurrent loads'),
  loadMs: milliseconds.default(250).describe('expected duration of one load'),
  stallWeight: z.coerce
    .number()
    .min(0)
    .max(1)
    .default(0.7)
    .describe('1 for short stalls, 0 for full batches'),
  leaseSeconds: z.coerce.number().int().min(2).default(4).describe('lease duration of an entry VM'),
  interactiveDeadlineMs: milliseconds
    .default(8000)
    .describe('default deadline of interactive requests'),
  deferrableDeadlineMs: milliseconds
    .default(600_000)
    .describe('default deadline of deferrable requests'),
  serviceTimeoutMs: milliseconds.default(10_000).describe('timeout of a call to a service'),
  callKeptSeconds: z.coerce
    .number()
    .int()
    .min(60)
    .default(86_400)
    .describe('how long the outcome of a non-idempotent call is kept'),
  firstTokenSilenceMs: milliseconds
    .default(2500)
    .describe('longest silence before the first token'),
  silenceMs: milliseconds.default(1000).describe('longest silence between tokens'),
  maxBodyBytes: z.coerce
    .number()
    .int()
    .positive()
    .default(1_048_576)
    .describe('maximum size of a request body'),
  bodyTimeoutMs: milliseconds.default(10_000).describe('maximum time to receive a request body'),
  handedOutMs: milliseconds.default(5000).describe('how long a response of /v1/where stays valid'),
  stopDeadlineMs: milliseconds.default(120_000).describe('maximum duration of a graceful stop'),
  ramMb: z.coerce.number().positive().optional().describe('memory of the machine in MB'),
  maxFds: z.coerce.number().int().positive().optional().describe('file descriptors of the process'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('lowest level that is logged'),
});
type Settings = z.infer<typeof Settings>;

export default Settings;
