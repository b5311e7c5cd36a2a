/** One process that serves requests of a service, as it describes itself. */
interface Upstream {
  id: string;
  /** Unix millisecond of its start; tells two lives under one id apart. */
  startedAt: number;
  service: string;
  address: string;
  dataCentre: string;
  state: 'ready' | 'leaving';
  /** Requests that it serves at once. */
  slots: number;
  /** Models and adapters that it held when it wrote this; seconds old. */
  models: Resident[];
}

interface Resident {
  name: string;
  version: number;
  adapters: { name: string; version: number }[];
}

export default Upstream;
