import type Log from '../events/Log';
import type CallerRequest from '../gateway/CallerRequest';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import type CrashReport from './CrashReport';
import getRequestKey from './getRequestKey';

/** A process may close its connections shortly before its port. */
const SECOND_CHECK_DELAY_MS = 250;

interface CrashDetectorHost extends Clock {
  isConnectionRefused(address: string): Promise<boolean>;
  onCrash(report: CrashReport): void;
  log: Log;
}

/**
 * Finds out whether an upstream has ended under a request, or has only lost its response: a host
 * refuses connections to a port at which no process listens.
 */
export default function createCrashDetector(host: CrashDetectorHost) {
  /** Checks an upstream that lost a request before, or right after, the begin of its response. */
  async function checkUpstream(
    upstream: Pick<Upstream, 'id' | 'startedAt' | 'address'>,
    request: CallerRequest,
    sentAt: number,
  ): Promise<void> {
    const ranMs = Math.round(host.now() - sentAt);
    if (!(await host.isConnectionRefused(upstream.address))) {
      await new Promise<void>((resolve) => {
        host.setTimer(SECOND_CHECK_DELAY_MS, resolve);
      });
      if (!(await host.isConnectionRefused(upstream.address))) {
        return;
      }
    }
    const parts = request.sharedPromptParts;
    host.log('upstreamEnded', {
      upstream: upstream.id,
      request: request.id,
      key: getRequestKey(request),
      ranMs,
      parts,
    });
    host.onCrash({ engine: `${upstream.id}@${upstream.startedAt}`, parts });
  }

  return { checkUpstream };
}
