import type LostRequest from './LostRequest';

/** The process of an upstream has ended under requests of one VM. */
interface CrashReport {
  /** Identifies the incarnation of the upstream that has ended. */
  upstream: string;
  requests: LostRequest[];
}

export default CrashReport;
