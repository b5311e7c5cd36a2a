const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;

/** Polls until a condition is met; throws after the time limit for the start of a trial. */
export default async function waitFor(isMet: () => Promise<boolean>): Promise<void> {
  const startedAt = Date.now();
  while (!(await isMet())) {
    if (Date.now() - startedAt > START_TIMEOUT_MS) {
      throw new Error('the trial did not start in time');
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
