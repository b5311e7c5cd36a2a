import type CompletionRequest from '../upstream/CompletionRequest';

/** A caller's completion request, resolved against the table. */
interface Completion {
  id: string;
  adapter: string;
  version: string;
  pool: string;
  team: string;
  class: 'interactive' | 'deferrable';
  priority: number;
  weight: number;
  /** Expected number of tokens in the response. */
  tokens: number;
  session: string | undefined;
  /** Time by which the response must have started, in milliseconds on the host's clock. */
  startBy: number;
  path: CompletionRequest['path'];
  body: Record<string, unknown>;
}

export default Completion;
