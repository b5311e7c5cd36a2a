import type Result from '../shared/Result';
import type KeyValueEntry from './KeyValueEntry';
import type KeyValueError from './KeyValueError';
import type KeyValueTransaction from './KeyValueTransaction';

interface TransactionResult {
  succeeded: boolean;
  revision: number;
  read: KeyValueEntry[];
}

type CallResult<Value> = Promise<Result<Value, KeyValueError>>;

/** The platform's key-value service. Each call counts against its budget. */
interface KeyValue {
  /** Reads the keys from `key` up to (not including) `rangeEnd`, in key order. */
  range(request: {
    key: string;
    rangeEnd?: string;
    limit?: number;
    minModRevision?: number;
    /** Reads the state at a past revision, as far back as the service keeps it. */
    atRevision?: number;
  }): CallResult<{ revision: number; more: boolean; entries: KeyValueEntry[] }>;
  transact(transaction: KeyValueTransaction): CallResult<TransactionResult>;
  /** Runs independent transactions in one call; a failed comparison does not stop the others. */
  transactAll(
    transactions: KeyValueTransaction[],
  ): CallResult<{ revision: number; answers: TransactionResult[] }>;
  /** Creates a lease and returns its id. */
  grantLease(ttlSeconds: number): CallResult<string>;
  /** Renews a lease and returns its remaining seconds; 0 if it no longer exists. */
  keepLeaseAlive(lease: string): CallResult<number>;
  revokeLease(lease: string): CallResult<void>;
  /** Watches the keys with a prefix from a revision on; returns a function that ends the watch. */
  watch(
    request: { prefix: string; fromRevision: number },
    onEntries: (entries: KeyValueEntry[], revision: number) => void,
    onEnd: (reason: 'closed' | 'compacted') => void,
  ): () => void;
}

export default KeyValue;
