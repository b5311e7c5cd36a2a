import type Result from '../shared/Result';
import type Change from './Change';
import type KeyValueError from './KeyValueError';

/** Reading a key-value service as a listing followed by changes. Each call is charged. */
interface ChangeFeed {
  /** One page of the keys with a prefix, after a key. Pages are no snapshot. */
  list(request: {
    prefix: string;
    after: string | undefined;
  }): Promise<Result<{ revision: number; changes: Change[]; more: boolean }, KeyValueError>>;
  /** Changes after a revision, as soon as there is one or when the wait has passed. */
  follow(request: {
    prefix: string;
    afterRevision: number;
    waitMs: number;
  }): Promise<
    Result<{ revision: number; changes: Change[] }, KeyValueError | { kind: 'compacted' }>
  >;
}

export default ChangeFeed;
