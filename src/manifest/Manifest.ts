import type Route from './Route';
import type Service from './Service';

/** Routes, services and limits that are in force together. */
interface Manifest {
  version: number;
  routes: Route[];
  services: ReadonlyMap<string, Service>;
  limits: {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
  };
}

export default Manifest;
