import type BaseModel from './BaseModel';

/** A group of interchangeable upstreams. */
interface Service {
  name: string;
  /** Maximum number of connections to one upstream, from all VMs in total. */
  maxConnections: number;
  /** Set if the upstreams are inference engines. */
  engine:
    | {
        batchSlots: number;
        adapterSlots: number;
        memoryMb: number;
        models: BaseModel[];
      }
    | undefined;
}

export default Service;
