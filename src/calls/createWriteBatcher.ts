import type KeyValue from '../keyValue/KeyValue';
import type KeyValueError from '../keyValue/KeyValueError';
import type KeyValueTransaction from '../keyValue/KeyValueTransaction';
import type Result from '../shared/Result';

type TransactionResult = Result<
  { succeeded: boolean; revision: number; read: { value: string; modRevision: number }[] },
  KeyValueError
>;

interface QueuedTransaction {
  transaction: KeyValueTransaction;
  resolve(result: TransactionResult): void;
}

/**
 * Returns a function that runs a transaction, and sends independent transactions in one call when
 * they queue up. A transaction that arrives while fewer than `maxCallsInFlight` calls are in flight
 * is sent at once. The others are queued until a call ends and are then sent together, at most
 * `maxBatchSize` of them. This is the adaptive bounded batching of the IX paper.
 */
export default function createWriteBatcher(
  keyValue: KeyValue,
  options: { maxBatchSize: number; maxCallsInFlight: number },
): (transaction: KeyValueTransaction) => Promise<TransactionResult> {
  const queue: QueuedTransaction[] = [];
  let inFlight = 0;

  async function flush(): Promise<void> {
    if (inFlight >= options.maxCallsInFlight || queue.length === 0) {
      return;
    }
    const batch = queue.splice(0, options.maxBatchSize);
    inFlight += 1;
    const results = await send(batch.map(({ transaction }) => transaction));
    inFlight -= 1;
    batch.forEach(({ resolve }, index) => resolve(results[index]));
    flush();
  }

  async function send(transactions: KeyValueTransaction[]): Promise<TransactionResult[]> {
    if (transactions.length === 1) {
      return [await keyValue.transact(transactions[0])];
    }
    const response = await keyValue.transactAll(transactions);
    return response.ok
      ? response.value.answers.map((value) => ({ ok: true, value }))
      : transactions.map(() => response);
  }

  return (transaction) =>
    new Promise((resolve) => {
      queue.push({ transaction, resolve });
      flush();
    });
}
