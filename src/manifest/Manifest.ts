import type Organisation from './Organisation';
import type Route from './Route';
import type Service from './Service';

/** The routes, services and limits of one version, which take effect together. */
interface Manifest {
  version: number;
  routes: Route[];
  services: ReadonlyMap<string, Service>;
  /** Organisations by API key; undefined if callers need no key. */
  organisations: ReadonlyMap<string, Organisation> | undefined;
  limits: {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
  };
}

export default Manifest;
