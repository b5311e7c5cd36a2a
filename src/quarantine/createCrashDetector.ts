import type Log from '../events/Log';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import type CrashReport from './CrashReport';

/** A process may close its connections shortly before its port. */
const SECOND_CHECK_DELAY_MS = 250;

interface CrashDetectorHost extends Clock {
  isConnectionRefused(address: string): Promise<boolean>;
  onCrash(report: CrashReport): void;
  log: Log;
}

/**
 * Finds out whether an engine has ended under a request, or has only lost its response: a host
 * refuses connections to a port at which no process listens.
 */
export default function createCrashDetector(host: CrashDetectorHost) {
  /** Checks an engine that lost a request before, or right after, the begin of its response. */
  async function checkEngine(
    engine: Pick<Upstream, 'id' | 'startedAt' | 'address'>,
    request: { id: string; sharedPromptParts: string[] },
  ): Promise<void> {
    if (!(await host.isConnectionRefused(engine.address))) {
      await new Promise<void>((resolve) => {
        host.setTimer(SECOND_CHECK_DELAY_MS, resolve);
      });
      if (!(await host.isConnectionRefused(engine.address))) {
        return;
      }
    }
    const parts = request.sharedPromptParts;
    host.log('upstreamEnded', { upstream: engine.id, request: request.id, parts });
    host.onCrash({ engine: `${engine.id}@${engine.startedAt}`, parts });
  }

  return { checkEngine };
}
