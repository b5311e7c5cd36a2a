import type createPlatformTrial from './createPlatformTrial';

const LIMITS_PER_SECOND = [0, 0.2, 1.8, 5.5, 20];
/** Long enough for a window of the contract after the contact time. */
const MIN_LIMIT_MS = 8000;
const MAX_LIMIT_MS = 14_000;
const MIN_PART_MS = 2500;

/** Creates an injector of limits that servers state, change and withdraw, several at a time. */
export default function createLimitFaults(
  trial: Pick<ReturnType<typeof createPlatformTrial>, 'servers' | 'post'>,
  options: { random: () => number; log: (text: string) => void },
) {
  const { random } = options;
  const wait = (delayMs: number) =>
    new Promise<void>((resolve) => {
      setTimeout(resolve, delayMs);
    });

  /** Lets a server state limits for some seconds, which change in between. */
  async function limitServer(id: string): Promise<void> {
    const until = Date.now() + MIN_LIMIT_MS + random() * (MAX_LIMIT_MS - MIN_LIMIT_MS);
    while (Date.now() < until) {
      const perSecond = LIMITS_PER_SECOND[Math.floor(random() * LIMITS_PER_SECOND.length)];
      options.log(`${id} states a limit of ${perSecond} a second`);
      await trial.post('limits', { [id]: perSecond });
      await wait(Math.min(until - Date.now(), MIN_PART_MS + random() * MAX_LIMIT_MS));
    }
    options.log(`${id} states no limit any more`);
    await trial.post('limits', { [id]: null });
  }

  /** Limits half of the servers, or all of one service, and waits until no limit is left. */
  async function run(): Promise<void> {
    const isWholeService = random() < 0.3;
    const [{ service }] = trial.servers;
    const limited = trial.servers.filter((server) =>
      isWholeService ? server.service === service : random() < 0.5,
    );
    await Promise.all(limited.map(({ id }) => limitServer(id)));
  }

  return { run };
}
