import type RelayMode from '../../standins/RelayMode';
import type ServerFault from '../../standins/platform/ServerFault';
import type KeyValueFault from '../../standins/platform/KeyValueFault';
import type PartitionMode from './PartitionMode';
import type createCallers from './createCallers';
import type createPlatformTrial from './createPlatformTrial';

const KEY_VALUE_FAULTS: readonly KeyValueFault[] = ['down', 'silent', 'slow', 'lost', 'late'];
const SERVER_FAULTS: readonly ServerFault[] = ['loseAnswers', 'errors', 'silentOrders', 'unframed'];
const RELAY_MODES: readonly RelayMode[] = ['cut', 'silent', 'noAnswers', 'slow'];
const PARTITION_MODES: readonly PartitionMode[] = ['hang', 'reset', 'refused'];
const SOFTWARE_VERSIONS = ['v1', 'v1.1', 'v2'];
/** Part of the draws of the fault that kills all VMs; it comes once in a run at most. */
const KILL_ALL_SHARE = 0.5;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 4000;

/** Creates an injector of random faults from outside the processes; faults can overlap. */
export default function createFaults(
  trial: ReturnType<typeof createPlatformTrial>,
  callers: Pick<ReturnType<typeof createCallers>, 'recordVersion'>,
  options: { random: () => number; adapters: number; log: (text: string) => void },
) {
  const { random } = options;
  const faultyVms = new Set<string>();
  /** Times at which faults of VMs, or of links to servers, ended. */
  const recoveries: { vm: string; since: number; at: number }[] = [];
  const servers: Record<string, ServerFault> = {};
  let manifest = 1;
  let isAllKilled = false;
  const versions = new Map<string, number>();

  const pickRandom = <Value>(values: readonly Value[]) =>
    values[Math.floor(random() * values.length)];
  const wait = (delayMs: number) =>
    new Promise<void>((resolve) => {
      setTimeout(resolve, delayMs);
    });
  const waitFaultDuration = () => wait(MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS));

  /**
   * Runs a fault on a random VM. Does nothing if that VM has a fault already or if only one VM
   * without a fault is left.
   */
  async function withFaultyVm(injectFault: (vm: string) => Promise<void>): Promise<void> {
    const vm = pickRandom(trial.vms);
    if (faultyVms.has(vm) || faultyVms.size >= trial.vms.length - 1) {
      return;
    }
    faultyVms.add(vm);
    const since = Date.now();
    await injectFault(vm);
    faultyVms.delete(vm);
    recoveries.push({ vm, since, at: Date.now() });
    options.log(`${vm} has recovered`);
  }

  const faults: Record<string, () => Promise<void>> = {
    kill: () =>
      withFaultyVm(async (vm) => {
        options.log(`kill ${vm}`);
        await trial.endProcess(vm, 'SIGKILL');
        await waitFaultDuration();
        trial.startVm(vm);
        await trial.waitUntilReady(vm);
      }),
    stop: () =>
      withFaultyVm(async (vm) => {
        options.log(`stop ${vm}`);
        await trial.endProcess(vm, 'SIGTERM');
        trial.startVm(vm);
        await trial.waitUntilReady(vm);
      }),
    freeze: () =>
      withFaultyVm(async (vm) => {
        options.log(`freeze ${vm}`);
        trial.signal(vm, 'SIGSTOP');
        await waitFaultDuration();
        trial.signal(vm, 'SIGCONT');
      }),
    reload: async () => {
      const vm = pickRandom(trial.vms);
      if (!faultyVms.has(vm)) {
        trial.signal(vm, 'SIGHUP');
      }
    },
    cutOffStore: () =>
      withFaultyVm(async (vm) => {
        const mode = pickRandom(RELAY_MODES);
        options.log(`${vm} and the store: ${mode}`);
        trial.storeRelays.get(vm)!.setMode(mode);
        await waitFaultDuration();
        trial.storeRelays.get(vm)!.setMode('open');
      }),
    store: async () => {
      const store = pickRandom(KEY_VALUE_FAULTS);
      options.log(`store ${store}`);
      await trial.post('faults', { store });
      await waitFaultDuration();
      await trial.post('faults', { store: 'none' });
    },
    forget: () => {
      options.log('the key-value service compacts its history');
      return trial.post('forget', {});
    },
    partition: () =>
      withFaultyVm(async (vm) => {
        const mode = pickRandom(PARTITION_MODES);
        options.log(`${vm} is partitioned from all servers: ${mode}`);
        trial.setPartition(vm, mode);
        await waitFaultDuration();
        trial.setPartition(vm, 'open');
      }),
    cutServer: async () => {
      const { id } = pickRandom(trial.servers);
      const mode = pickRandom(RELAY_MODES);
      const since = Date.now();
      options.log(`${id}: ${mode}`);
      trial.serverRelays.get(id)!.setMode(mode);
      await waitFaultDuration();
      trial.serverRelays.get(id)!.setMode('open');
      trial.vms.forEach((vm) => recoveries.push({ vm, since, at: Date.now() }));
    },
    resetServer: async () => {
      const { id } = pickRandom(trial.servers);
      options.log(`${id}: connections reset`);
      trial.serverRelays.get(id)!.reset();
    },
    server: async () => {
      const { id } = pickRandom(trial.servers);
      servers[id] = pickRandom(SERVER_FAULTS);
      options.log(`${id}: ${servers[id]}`);
      await trial.post('faults', { servers });
      await waitFaultDuration();
      servers[id] = 'none';
      await trial.post('faults', { servers });
    },
    crash: async () => {
      const { id } = pickRandom(trial.servers);
      options.log(`${id}: crash`);
      await trial.post('crash', { ids: [id] });
    },
    crashRack: async () => {
      const { dataCentre } = pickRandom(trial.servers);
      options.log(`all servers of ${dataCentre}: crash`);
      const rack = trial.servers.filter((server) => server.dataCentre === dataCentre);
      await trial.post('crash', { ids: rack.map(({ id }) => id) });
    },
    release: async () => {
      const models = trial.servers.filter(({ kind }) => kind === 'model');
      const { id } = pickRandom(models);
      const softwareVersion = pickRandom(SOFTWARE_VERSIONS);
      options.log(`${id}: restarts with ${softwareVersion}`);
      await trial.post('release', { ids: [id], softwareVersion });
    },
    killAll: async () => {
      if (isAllKilled || faultyVms.size > 0 || random() > KILL_ALL_SHARE) {
        return;
      }
      isAllKilled = true;
      options.log('kill all VMs');
      trial.vms.forEach((vm) => faultyVms.add(vm));
      const since = Date.now();
      await Promise.all(trial.vms.map((vm) => trial.endProcess(vm, 'SIGKILL')));
      trial.vms.forEach(trial.startVm);
      await Promise.all(trial.vms.map(trial.waitUntilReady));
      trial.vms.forEach((vm) => {
        faultyVms.delete(vm);
        recoveries.push({ vm, since, at: Date.now() });
      });
      options.log('all VMs have recovered');
    },
    version: async () => {
      const adapter = `a${1 + Math.floor(random() * options.adapters)}`;
      const version = (versions.get(adapter) ?? 1) + 1;
      versions.set(adapter, version);
      options.log(`${adapter} has version ${version}`);
      await trial.post('versions', { adapter, version });
      callers.recordVersion(adapter, version);
    },
    manifest: async () => {
      manifest += 1;
      await trial.setManifest(manifest, 1500 + Math.floor(random() * 1000));
    },
  };

  /** Injects faults for `durationMs`, and waits until the last one has ended. */
  async function run(durationMs: number, pauseMs: number): Promise<void> {
    const until = Date.now() + durationMs;
    const running = new Set<Promise<void>>();
    while (Date.now() < until) {
      const fault = faults[pickRandom(Object.keys(faults))]().finally(() => running.delete(fault));
      running.add(fault);
      await wait(pauseMs * 2 * random());
    }
    await Promise.all([...running]);
  }

  /** Returns whether a fault of a VM or its links ended at most `withinMs` before `at`. */
  function hasRecoveredWithin(vm: string, at: number, withinMs: number): boolean {
    return recoveries.some((recovery) => {
      const sinceMs = at - recovery.at;
      return recovery.vm === vm && sinceMs >= 0 && sinceMs <= withinMs;
    });
  }

  /** Returns whether a fault of a VM or its links was in progress at most `withinMs` before `at`. */
  function wasDisturbedWithin(vm: string, at: number, withinMs: number): boolean {
    return recoveries.some(
      (recovery) => recovery.vm === vm && recovery.since <= at && at - recovery.at <= withinMs,
    );
  }

  return { run, hasRecoveredWithin, wasDisturbedWithin };
}
