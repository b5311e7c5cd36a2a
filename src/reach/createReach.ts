import type ProbeOutcome from '../upstream/ProbeOutcome';
import type Upstream from '../upstream/Upstream';
import chooseProbeTargets from './chooseProbeTargets';

/** Upstreams that are probed to tell the failure of one from the loss of all links. */
const PROBED_UPSTREAMS = 3;

interface ReachHost {
  /** Opens and closes a connection to an address (`ip:port`). */
  probe(address: string): Promise<ProbeOutcome>;
  getUpstreams(): readonly Upstream[];
  /** Returns a number from 0 to 1. */
  random(): number;
}

/** Finds out whether this VM reaches upstreams at all. */
export default function createReach(host: ReachHost) {
  /**
   * Returns whether another upstream accepts a connection of this VM. True if there is no other to ask.
   */
  async function reachesOthers(id: string): Promise<boolean> {
    const others = host.getUpstreams().filter((upstream) => upstream.id !== id);
    const targets = chooseProbeTargets(others, PROBED_UPSTREAMS, host.random);
    const outcomes = await Promise.all(targets.map(({ address }) => host.probe(address)));
    return targets.length === 0 || outcomes.includes('accepted');
  }

  return { reachesOthers };
}
