/** What the stand-in of the platform consists of; addresses are `ip:port`. */
interface Layout {
  store: string;
  control: string;
  /** Base model of all model servers. */
  model: string;
  /** Requests that a model server runs at once, and adapters that it holds. */
  slots: number;
  places: number;
  servers: {
    id: string;
    kind: 'model' | 'plain';
    service: string;
    dataCentre: string;
    listen: string;
    /** Where callers are told that it is: itself, or a relay before it. */
    announced: string;
  }[];
}

export default Layout;
