import type createPlatformTrial from './createPlatformTrial';

const REST_SECONDS = [0.3, 1.5, 4];
const MAX_RECORD_LAG_MS = 4000;
const MIN_SERVING_MS = 3500;
const MAX_SERVING_MS = 7000;
const MAX_PAUSE_MS = 3000;

/**
 * Creates an injector of servers that state in their responses that they leave, before their
 * registrations say so or without, and of servers that want no requests for some time.
 */
export default function createNoticeFaults(
  trial: Pick<ReturnType<typeof createPlatformTrial>, 'servers' | 'post'>,
  options: { random: () => number; log: (text: string) => void },
) {
  const { random } = options;
  const wait = (delayMs: number) =>
    new Promise<void>((resolve) => {
      setTimeout(resolve, delayMs);
    });

  /** Lets a server leave, and starts it anew some seconds later. */
  async function leave(id: string): Promise<void> {
    const recordLagMs = random() < 0.3 ? null : random() * MAX_RECORD_LAG_MS;
    options.log(`${id} leaves; its registration says so after ${recordLagMs} ms`);
    await trial.post('leave', { ids: [id], recordLagMs });
    await wait(MIN_SERVING_MS + random() * (MAX_SERVING_MS - MIN_SERVING_MS));
    await trial.post('crash', { ids: [id] });
  }

  async function rest(id: string): Promise<void> {
    const seconds = REST_SECONDS[Math.floor(random() * REST_SECONDS.length)];
    options.log(`${id} wants no requests for ${seconds} s`);
    await trial.post('rest', { ids: [id], seconds, forMs: random() * seconds * 1000 });
    await wait(seconds * 1000);
  }

  /** Plays both on a third of the servers each, several at once, for `durationMs`. */
  async function run(durationMs: number): Promise<void> {
    const until = Date.now() + durationMs;
    await Promise.all(
      trial.servers.map(async ({ id }) => {
        while (Date.now() < until) {
          await wait(random() * MAX_PAUSE_MS);
          const draw = random();
          if (draw < 1 / 3) {
            await leave(id);
          } else if (draw < 2 / 3) {
            await rest(id);
          }
        }
      }),
    );
  }

  return { run };
}
