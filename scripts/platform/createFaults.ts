import type RelayMode from '../../standins/RelayMode';
import type ServerFault from '../../standins/platform/ServerFault';
import type KeyValueFault from '../../standins/platform/KeyValueFault';
import type createCallers from './createCallers';
import type createPlatformTrial from './createPlatformTrial';

const STORE_FAULTS: readonly KeyValueFault[] = ['down', 'silent', 'slow', 'lost', 'late'];
const SERVER_FAULTS: readonly ServerFault[] = ['loseAnswers', 'errors', 'silentOrders'];
const RELAY_MODES: readonly RelayMode[] = ['cut', 'silent', 'noAnswers', 'slow'];
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 4000;

/** Faults injected from outside the programs, drawn at random, in series and overlapping. */
export default function createFaults(
  trial: ReturnType<typeof createPlatformTrial>,
  callers: Pick<ReturnType<typeof createCallers>, 'noteVersion'>,
  options: { random: () => number; adapters: number; note: (text: string) => void },
) {
  const { random } = options;
  const stopped = new Set<string>();
  /** When VMs were thawed, or links of theirs healed. */
  const healings: { vm: string; at: number }[] = [];
  const servers: Record<string, ServerFault> = {};
  let manifest = 1;
  const versions = new Map<string, number>();

  const pick = <Value>(values: readonly Value[]) => values[Math.floor(random() * values.length)];
  const wait = (delayMs: number) =>
    new Promise<void>((resolve) => {
      setTimeout(resolve, delayMs);
    });
  const waitSome = () => wait(MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS));

  /** Takes a VM that no other fault has in hand; most VMs are left to serve. */
  async function withVm(act: (vm: string) => Promise<void>): Promise<void> {
    const vm = pick(trial.vms);
    if (stopped.has(vm) || stopped.size >= trial.vms.length - 1) {
      return;
    }
    stopped.add(vm);
    await act(vm);
    stopped.delete(vm);
    healings.push({ vm, at: Date.now() });
    options.note(`${vm} is whole again`);
  }

  const faults: Record<string, () => Promise<void>> = {
    kill: () =>
      withVm(async (vm) => {
        options.note(`kill ${vm}`);
        await trial.end(vm, 'SIGKILL');
        await waitSome();
        trial.startVm(vm);
        await trial.waitUntilReady(vm);
      }),
    stop: () =>
      withVm(async (vm) => {
        options.note(`stop ${vm}`);
        await trial.end(vm, 'SIGTERM');
        trial.startVm(vm);
        await trial.waitUntilReady(vm);
      }),
    freeze: () =>
      withVm(async (vm) => {
        options.note(`freeze ${vm}`);
        trial.signal(vm, 'SIGSTOP');
        await waitSome();
        trial.signal(vm, 'SIGCONT');
      }),
    reload: async () => {
      const vm = pick(trial.vms);
      if (!stopped.has(vm)) {
        trial.signal(vm, 'SIGHUP');
      }
    },
    cutOffStore: () =>
      withVm(async (vm) => {
        const mode = pick(RELAY_MODES);
        options.note(`${vm} and the store: ${mode}`);
        trial.storeRelays.get(vm)!.setMode(mode);
        await waitSome();
        trial.storeRelays.get(vm)!.setMode('open');
      }),
    store: async () => {
      const store = pick(STORE_FAULTS);
      options.note(`store ${store}`);
      await trial.post('faults', { store });
      await waitSome();
      await trial.post('faults', { store: 'none' });
    },
    forget: () => {
      options.note('store forgets its history');
      return trial.post('forget', {});
    },
    cutServer: async () => {
      const { id } = pick(trial.servers);
      const mode = pick(RELAY_MODES);
      options.note(`${id}: ${mode}`);
      trial.serverRelays.get(id)!.setMode(mode);
      await waitSome();
      trial.serverRelays.get(id)!.setMode('open');
      trial.vms.forEach((vm) => healings.push({ vm, at: Date.now() }));
    },
    resetServer: async () => {
      const { id } = pick(trial.servers);
      options.note(`${id}: connections reset`);
      trial.serverRelays.get(id)!.reset();
    },
    server: async () => {
      const { id } = pick(trial.servers);
      servers[id] = pick(SERVER_FAULTS);
      options.note(`${id}: ${servers[id]}`);
      await trial.post('faults', { servers });
      await waitSome();
      servers[id] = 'none';
      await trial.post('faults', { servers });
    },
    version: async () => {
      const adapter = `a${1 + Math.floor(random() * options.adapters)}`;
      const version = (versions.get(adapter) ?? 1) + 1;
      versions.set(adapter, version);
      options.note(`${adapter} has version ${version}`);
      await trial.post('versions', { adapter, version });
      callers.noteVersion(adapter, version);
    },
    manifest: async () => {
      manifest += 1;
      await trial.setManifest(manifest, 1500 + Math.floor(random() * 1000));
    },
  };

  /** Injects faults for a while, and waits until the last one is over. */
  async function run(forMs: number, pauseMs: number): Promise<void> {
    const until = Date.now() + forMs;
    const running = new Set<Promise<void>>();
    while (Date.now() < until) {
      const fault = faults[pick(Object.keys(faults))]().finally(() => running.delete(fault));
      running.add(fault);
      await wait(pauseMs * 2 * random());
    }
    await Promise.all([...running]);
  }

  /** Whether a VM was thawed, or a link of it healed, within a time before a moment. */
  function wasHealedWithin(vm: string, at: number, withinMs: number): boolean {
    return healings.some((healing) => {
      const sinceMs = at - healing.at;
      return healing.vm === vm && sinceMs >= 0 && sinceMs <= withinMs;
    });
  }

  return { run, wasHealedWithin };
}
