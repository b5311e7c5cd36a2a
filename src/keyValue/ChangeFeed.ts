import type Result from '../shared/Result';
import type Change from './Change';
import type KeyValueError from './KeyValueError';

/** Reads a key-value service by a listing, then by changes. Each call counts against a budget. */
interface ChangeFeed {
  /**
   * Returns one page of the keys with a prefix that follow `after`. The pages of a listing are not
   * a consistent snapshot.
   */
  list(request: {
    prefix: string;
    after: string | undefined;
  }): Promise<Result<{ revision: number; changes: Change[]; more: boolean }, KeyValueError>>;
  /**
   * Returns the changes after a revision, as soon as there is one or `waitMs` has passed. Fails
   * with `compacted` if the service no longer keeps the history from that revision on.
   */
  follow(request: {
    prefix: string;
    afterRevision: number;
    waitMs: number;
  }): Promise<
    Result<{ revision: number; changes: Change[] }, KeyValueError | { kind: 'compacted' }>
  >;
}

export default ChangeFeed;
