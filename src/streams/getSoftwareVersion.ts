import type Upstream from '../upstream/Upstream';

/** Returns the software version of an upstream; upstreams that state none share one. */
export default function getSoftwareVersion({ softwareVersion }: Upstream): string {
  return softwareVersion ?? '';
}
