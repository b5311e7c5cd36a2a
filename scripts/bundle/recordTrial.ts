/**
 * Writes the compile cache of a bundle from a short trial: `tsx recordTrial.ts BUNDLE_FILE`. The functions
 * that a VM runs at its start and with requests are in the cache, so that no VM has to compile them.
 */
import { existsSync } from 'node:fs';
import createRandom from '../../bench/createRandom';
import createCallers from '../platform/createCallers';
import createPlatformTrial from '../platform/createPlatformTrial';

/** V8 accepts a cache only under the flags of the deployment file. */
const DEPLOYED_FLAGS = ['--max-old-space-size=160', '--interrupt-budget=400000'];
const RECORDER_FLAGS = ['--require', './scripts/bundle/recordCodeCache.cjs'];
/** No other trial uses these addresses, so that a build can run beside trials. */
const NETWORK = 119;
const TRAFFIC_MS = 4000;
const REQUEST_INTERVAL_MS = 20;
const ADAPTER_COUNT = 12;

const bundle = process.argv[2];
const trial = createPlatformTrial({
  vms: 2,
  engines: 3,
  network: NETWORK,
  bundle,
  nodeArguments: [...DEPLOYED_FLAGS, ...RECORDER_FLAGS],
});
await trial.start();
const callers = createCallers(trial, {
  name: 'record',
  random: createRandom(1),
  adapters: ADAPTER_COUNT,
  pauseMs: REQUEST_INTERVAL_MS,
});
const callersRun = callers.run();
await new Promise((resolve) => {
  setTimeout(resolve, TRAFFIC_MS);
});
await callers.stop();
await callersRun;
await trial.stop();
const isWritten = existsSync(`${bundle}.${process.version}-${process.arch}.cache`);
process.exit(isWritten && trial.exits.length === 0 ? 0 : 1);
