import type CompletionRequest from '../upstream/CompletionRequest';

/** One completion that a caller asked for, resolved against the table. */
interface Completion {
  id: string;
  adapter: string;
  version: string;
  pool: string;
  team: string;
  class: 'interactive' | 'deferrable';
  priority: number;
  weight: number;
  /** Expected tokens of the answer. */
  tokens: number;
  session: string | undefined;
  /** When the answer must have begun. */
  startBy: number;
  path: CompletionRequest['path'];
  body: Record<string, unknown>;
}

export default Completion;
