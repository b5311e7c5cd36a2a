import type Log from '../events/Log';
import type CallerRequest from '../gateway/CallerRequest';
import type Clock from '../shared/Clock';
import type ProbeOutcome from '../upstream/ProbeOutcome';
import type Upstream from '../upstream/Upstream';
import type CrashReport from './CrashReport';
import getTraits from './getTraits';

/** A process may close its connections shortly before its port. */
const SECOND_CHECK_DELAY_MS = 250;
/** Requests that one report names: those sent last, since a crash follows soon on its request. */
const MAX_REPORTED_REQUESTS = 64;

interface Loss {
  request: CallerRequest;
  sentAt: number;
  lostAt: number;
}

interface CrashDetectorHost extends Clock {
  probe(address: string): Promise<ProbeOutcome>;
  /** Returns whether other VMs reach an upstream that refuses this VM's connections. */
  isReachedByOthers(upstream: string): Promise<boolean>;
  onCrash(report: CrashReport): void;
  log: Log;
}

/**
 * Finds out whether an upstream has ended under requests, or has only lost their responses: a host
 * refuses connections to a port at which no process listens.
 */
export default function createCrashDetector(host: CrashDetectorHost) {
  /** Losses by incarnation of their upstream, while that is checked. */
  const unchecked = new Map<string, Loss[]>();

  /** Checks an upstream that lost a request before, or right after, the begin of its response. */
  async function checkUpstream(
    upstream: Pick<Upstream, 'id' | 'startedAt' | 'address'>,
    request: CallerRequest,
    sentAt: number,
  ): Promise<void> {
    const incarnation = `${upstream.id}@${upstream.startedAt}`;
    const loss = { request, sentAt, lostAt: host.now() };
    const pending = unchecked.get(incarnation);
    if (pending) {
      pending.push(loss);
      return;
    }
    const losses = [loss];
    unchecked.set(incarnation, losses);
    // A partition can refuse connections in the name of a sound process.
    const isEnded =
      (await isProcessEnded(upstream.address)) && !(await host.isReachedByOthers(upstream.id));
    unchecked.delete(incarnation);
    if (isEnded) {
      const newest = losses.sort((left, right) => right.sentAt - left.sentAt);
      report(upstream.id, incarnation, newest.slice(0, MAX_REPORTED_REQUESTS));
    }
  }

  async function isProcessEnded(address: string): Promise<boolean> {
    if ((await host.probe(address)) === 'refused') {
      return true;
    }
    await new Promise<void>((resolve) => {
      host.setTimer(SECOND_CHECK_DELAY_MS, resolve);
    });
    return (await host.probe(address)) === 'refused';
  }

  function report(id: string, incarnation: string, losses: readonly Loss[]): void {
    const now = host.now();
    const requests = losses.map(({ request, sentAt, lostAt }) => {
      const traits = getTraits(request);
      const ranMs = Math.round(lostAt - sentAt);
      host.log('upstreamEnded', { upstream: id, request: request.id, traits, ranMs });
      return { traits, ageMs: now - lostAt, ranMs };
    });
    host.onCrash({ upstream: incarnation, requests });
  }

  return { checkUpstream };
}
