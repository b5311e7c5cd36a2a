import type Pool from '../pool/Pool';
import type UpstreamRow from '../table/UpstreamRow';
import type OwnerRecord from './OwnerRecord';

type EngineRow = Extract<UpstreamRow, { kind: 'engine' }>;

/** One pool for which this VM decides. */
interface Ownership {
  name: string;
  fence: number;
  revision: number;
  intents: OwnerRecord['intents'];
  pool: Pool;
  rows: Map<string, EngineRow>;
  /** Which VM asked, by request. */
  requesters: Map<string, { from: string; release: () => void; at: number }>;
  boots: Map<string, string>;
  failures: Map<string, number>;
  /** Adapters that an engine holds beside the pool's own of the same model, to be unloaded. */
  surplus: Map<string, Set<string>>;
  sequence: number;
  /** Which VMs were told of all engines, and when. */
  told: Map<string, { incarnation: string; at: number }>;
  /** What was last announced of each engine. */
  announced: Map<string, string>;
  isAnnouncing: boolean;
  isEnded: boolean;
  recordWrites: Promise<unknown>;
}

export default Ownership;
