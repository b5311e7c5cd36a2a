import type Pool from '../pool/Pool';
import type UpstreamRow from '../table/UpstreamRow';
import type OwnerRecord from './OwnerRecord';

type EngineRow = Extract<UpstreamRow, { kind: 'engine' }>;

/** A pool of engines that this VM owns, and its state for as long as this VM owns it. */
interface Ownership {
  name: string;
  /** Fencing number of this ownership. */
  fence: number;
  /** Revision of the ownership record in the key-value service. */
  revision: number;
  intents: OwnerRecord['intents'];
  pool: Pool;
  rows: Map<string, EngineRow>;
  /**
   * The VM that sent each request, by request id. `at` is when the request arrived or, once it is
   * granted, when it was granted.
   */
  requesters: Map<string, { from: string; release: () => void; at: number }>;
  /** Boot id that each engine last reported. */
  bootIds: Map<string, string>;
  /** How many report requests in a row each engine has failed. */
  failedReports: Map<string, number>;
  /** Duplicate adapters by engine, to be unloaded: the engine holds another of the same model. */
  duplicateNames: Map<string, Set<string>>;
  /** Sequence number of the last residency or withdrawal message under `fence`. */
  sequence: number;
  /** When each VM, by address, was last sent all engines, and its incarnation at that time. */
  lastFullAnnouncements: Map<string, { incarnation: string; at: number }>;
  /** Adapter names last announced for each engine, joined, to find changes. */
  lastAnnouncedNames: Map<string, string>;
  isAnnouncementScheduled: boolean;
  isEnded: boolean;
  /** Settles when the last queued write of the ownership record has ended. */
  recordWrites: Promise<unknown>;
}

export default Ownership;
