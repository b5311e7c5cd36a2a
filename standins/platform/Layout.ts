/** Configuration of the stand-in for the platform; addresses are `ip:port`. */
interface Layout {
  /** Address of the key-value service. */
  store: string;
  /** Address of the control interface: faults, manifests, versions and the ledger. */
  control: string;
  /** Base model of all model servers. */
  model: string;
  /** Request slots of a model server; it refuses requests beyond twice this number. */
  slots: number;
  /** Adapter slots of a model server. */
  places: number;
  servers: {
    id: string;
    kind: 'model' | 'plain';
    service: string;
    dataCentre: string;
    listen: string;
    /** Address in the server's registration: its own, or that of a relay in front of it. */
    announced: string;
  }[];
}

export default Layout;
