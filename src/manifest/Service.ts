import type BaseModel from './BaseModel';

/** A group of upstreams that do the same work. */
interface Service {
  name: string;
  /** Connections that one upstream accepts from all VMs together. */
  maxConnections: number;
  /** Set where the upstreams are model engines. */
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
