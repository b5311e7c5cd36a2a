import type KeyValue from '../keyValue/KeyValue';
import type KeyValueError from '../keyValue/KeyValueError';
import type KeyValueTransaction from '../keyValue/KeyValueTransaction';
import type Result from '../shared/Result';

type Answer = Result<
  { succeeded: boolean; revision: number; read: { value: string; modRevision: number }[] },
  KeyValueError
>;

interface Waiting {
  transaction: KeyValueTransaction;
  resolve(answer: Answer): void;
}

/**
 * Lets independent transactions ride in one call when they pile up. One that comes while fewer than
 * `maxCallsInFlight` calls are out goes at once; the others wait for a call to end and go together,
 * at most `maxBatch` of them. This is the adaptive bounded batching of the IX paper.
 */
export default function createWriteBatcher(
  keyValue: KeyValue,
  options: { maxBatch: number; maxCallsInFlight: number },
): (transaction: KeyValueTransaction) => Promise<Answer> {
  const queue: Waiting[] = [];
  let inFlight = 0;

  async function flush(): Promise<void> {
    if (inFlight >= options.maxCallsInFlight || queue.length === 0) {
      return;
    }
    const batch = queue.splice(0, options.maxBatch);
    inFlight += 1;
    const answers = await send(batch.map(({ transaction }) => transaction));
    inFlight -= 1;
    batch.forEach(({ resolve }, index) => resolve(answers[index]));
    flush();
  }

  async function send(transactions: KeyValueTransaction[]): Promise<Answer[]> {
    if (transactions.length === 1) {
      return [await keyValue.transact(transactions[0])];
    }
    const answer = await keyValue.transactAll(transactions);
    return answer.ok
      ? answer.value.answers.map((value) => ({ ok: true, value }))
      : transactions.map(() => answer);
  }

  return (transaction) =>
    new Promise((resolve) => {
      queue.push({ transaction, resolve });
      flush();
    });
}
