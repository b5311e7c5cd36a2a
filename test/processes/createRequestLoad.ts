import type createTrial from '../../scripts/createTrial';

const PAUSE_MS = 40;

interface LoadResults {
  /** Completions that were received completely and from the requested adapter. */
  completeCount: number;
  refusedCount: number;
  /** Completions whose connection closed before the response ended, as when a VM is killed. */
  disconnectedCount: number;
  /** Bodies of responses that are neither complete nor report an error. */
  wrongResponses: string[];
  serviceCalls: { key: string; status: number; reportedRan: string | undefined }[];
}

/**
 * Sends chat completions and non-idempotent service calls to the VMs in turn until `stop` is
 * called, and records the responses. Each service call is sent to two VMs under the same key.
 */
export default function createRequestLoad(
  trial: ReturnType<typeof createTrial>,
  getUrls: () => string[],
  adapterCount: number,
) {
  const results: LoadResults = {
    completeCount: 0,
    refusedCount: 0,
    disconnectedCount: 0,
    wrongResponses: [],
    serviceCalls: [],
  };
  let isRunning = true;
  let count = 0;

  async function chatOnce(): Promise<void> {
    count += 1;
    const urls = getUrls();
    const model = `lace-${1 + (count % adapterCount)}@v1`;
    const response = await trial.chat(urls[count % urls.length], model, 10);
    if (response.status === 0) {
      results.disconnectedCount += 1;
    } else if (response.status !== 200) {
      results.refusedCount += 1;
    } else if (
      response.finished &&
      response.models.join() === model &&
      isInOrder(response.text, 10)
    ) {
      results.completeCount += 1;
    } else if (response.raw.includes('"error"')) {
      results.refusedCount += 1;
    } else {
      results.wrongResponses.push(response.raw.slice(0, 300));
    }
  }

  async function callServiceOnce(): Promise<void> {
    count += 1;
    const key = `hold-${count}`;
    const urls = getUrls();
    const headers = { 'idempotency-key': key };
    const calls = [0, 1].map((offset) => {
      const url = `${urls[(count + offset) % urls.length]}/v1/services/desk/holds`;
      return trial.callAsCaller('POST', url, { key }, headers);
    });
    (await Promise.all(calls)).forEach(({ status, text }) => {
      const ran = status >= 400 ? (JSON.parse(text) as { error: { ran: string } }).error.ran : '';
      results.serviceCalls.push({ key, status, reportedRan: ran });
    });
  }

  async function repeat(send: () => Promise<void>): Promise<void> {
    while (isRunning) {
      await send();
      await new Promise((resolve) => {
        setTimeout(resolve, PAUSE_MS);
      });
    }
  }

  const loops = [chatOnce, chatOnce, chatOnce, callServiceOnce].map(repeat);
  return {
    results,
    stop: async () => {
      isRunning = false;
      await Promise.all(loops);
    },
  };
}

function isInOrder(text: string, tokens: number): boolean {
  const offsets = text
    .trim()
    .split(' ')
    .map((word) => Number(word.split('-')[1]));
  return offsets.length === tokens && offsets.every((offset, index) => offset === index);
}
