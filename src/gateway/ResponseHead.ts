/** Status and headers of an upstream's answer. */
interface ResponseHead {
  status: number;
  /** Headers that go on to the caller. */
  headers: [string, string][];
  /** Id of the request that is answered. */
  id: string | undefined;
  /** Whether the upstream states that the request was not run. */
  isNotRun: boolean;
}

export default ResponseHead;
