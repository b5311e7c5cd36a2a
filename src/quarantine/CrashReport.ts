/** The process of an engine has ended right after it began a response to a request. */
interface CrashReport {
  /** Identifies the run of the engine that has ended. */
  engine: string;
  /** Shared parts of the request's prompt, in order. */
  parts: string[];
}

export default CrashReport;
