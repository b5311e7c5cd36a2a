/** A process that serves requests of a service, as it has registered itself. */
interface Upstream {
  id: string;
  /** Start time in Unix milliseconds; distinguishes incarnations with the same id. */
  startedAt: number;
  service: string;
  address: string;
  dataCentre: string;
  state: 'ready' | 'leaving';
  /** Number of requests that it serves concurrently. */
  slots: number;
  /** Version of its software, not of the models it serves; undefined if it states none. */
  softwareVersion: string | undefined;
  /** Models and adapters that it held at the time of registration; may be seconds old. */
  models: ResidentModel[];
}

interface ResidentModel {
  name: string;
  version: number;
  adapters: { name: string; version: number }[];
}

export default Upstream;
