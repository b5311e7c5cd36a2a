/** What is known of another entry VM from its last heartbeat. */
interface Member {
  address: string;
  incarnation: string;
  state: 'live' | 'leaving';
  dataCentre: string;
  callerAddress: string;
  /** When its last heartbeat arrived, on this VM's clock. */
  heardAt: number;
  tableRevision: number;
  newestRow: number;
  confirmedAgeMs: number | undefined;
  inFlight: number;
  heard: ReadonlySet<string>;
}

export default Member;
