import type Result from '../shared/Result';
import type KeyValueEntry from './KeyValueEntry';
import type KeyValueError from './KeyValueError';
import type KeyValueTransaction from './KeyValueTransaction';

interface TransactionAnswer {
  succeeded: boolean;
  revision: number;
  read: KeyValueEntry[];
}

type Answer<Value> = Promise<Result<Value, KeyValueError>>;

/** The platform's key-value service. Each call counts against its budget. */
interface KeyValue {
  /** Reads the keys from `key` up to (not including) `rangeEnd`, in key order. */
  range(request: {
    key: string;
    rangeEnd?: string;
    limit?: number;
    minModRevision?: number;
    /** Reads the past, as far back as the service keeps it. */
    atRevision?: number;
  }): Answer<{ revision: number; more: boolean; entries: KeyValueEntry[] }>;
  transact(transaction: KeyValueTransaction): Answer<TransactionAnswer>;
  /** Runs independent transactions in one call; one that fails does not stop the others. */
  transactAll(
    transactions: KeyValueTransaction[],
  ): Answer<{ revision: number; answers: TransactionAnswer[] }>;
  grantLease(ttlSeconds: number): Answer<string>;
  /** Answers the seconds that the lease has left; 0 when it is gone. */
  keepLeaseAlive(lease: string): Answer<number>;
  revokeLease(lease: string): Answer<void>;
  /** Follows changes of the keys with a prefix from a revision on; the answer ends it. */
  watch(
    request: { prefix: string; fromRevision: number },
    onEntries: (entries: KeyValueEntry[], revision: number) => void,
    onEnd: (reason: 'closed' | 'compacted') => void,
  ): () => void;
}

export default KeyValue;
