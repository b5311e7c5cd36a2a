import type createTrial from '../../scripts/createTrial';

const PAUSE_MS = 40;

interface Seen {
  whole: number;
  refused: number;
  /** Requests whose connection ended, as it does when a VM is killed. */
  broken: number;
  wrong: string[];
  keys: { key: string; status: number; ran: string | undefined }[];
}

/** Sends chats and bookings to the VMs in turn until it is stopped; notes what callers saw. */
export default function createLoad(
  trial: ReturnType<typeof createTrial>,
  getUrls: () => string[],
  adapters: number,
) {
  const seen: Seen = { whole: 0, refused: 0, broken: 0, wrong: [], keys: [] };
  let isRunning = true;
  let count = 0;

  async function chatOnce(): Promise<void> {
    count += 1;
    const urls = getUrls();
    const model = `lace-${1 + (count % adapters)}@v1`;
    const answer = await trial.chat(urls[count % urls.length], model, 10);
    if (answer.status === 0) {
      seen.broken += 1;
    } else if (answer.status !== 200) {
      seen.refused += 1;
    } else if (answer.finished && answer.models.join() === model && isInOrder(answer.text, 10)) {
      seen.whole += 1;
    } else if (answer.raw.includes('"error"')) {
      seen.refused += 1;
    } else {
      seen.wrong.push(answer.raw.slice(0, 300));
    }
  }

  async function bookOnce(): Promise<void> {
    count += 1;
    const key = `hold-${count}`;
    const urls = getUrls();
    const headers = { 'idempotency-key': key };
    const results = [0, 1].map((offset) => {
      const url = `${urls[(count + offset) % urls.length]}/v1/services/desk/holds`;
      return trial.callAsCaller('POST', url, { key }, headers);
    });
    (await Promise.all(results)).forEach(({ status, text }) => {
      const ran = status >= 400 ? (JSON.parse(text) as { error: { ran: string } }).error.ran : '';
      seen.keys.push({ key, status, ran });
    });
  }

  async function loop(once: () => Promise<void>): Promise<void> {
    while (isRunning) {
      await once();
      await new Promise((resolve) => {
        setTimeout(resolve, PAUSE_MS);
      });
    }
  }

  const loops = [chatOnce, chatOnce, chatOnce, bookOnce].map(loop);
  return {
    seen,
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
