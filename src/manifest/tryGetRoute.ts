import type Manifest from './Manifest';
import type Route from './Route';

/** Returns the route of a host with the longest prefix that matches the path. */
export default function tryGetRoute(
  manifest: Manifest,
  host: string,
  path: string,
): Route | undefined {
  return manifest.routes
    .filter((route) => route.host === host && path.startsWith(route.pathPrefix))
    .reduce<Route | undefined>(
      (best, route) =>
        best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best,
      undefined,
    );
}
