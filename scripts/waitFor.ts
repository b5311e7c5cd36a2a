const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;

/** Waits until a condition is met; fails where that takes longer than a trial takes to start. */
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
