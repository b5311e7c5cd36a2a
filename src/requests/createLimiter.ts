import type RefusalName from '../messages/RefusalName';

interface Limits {
  requestsPerSecond?: number;
  inFlight?: number;
}

/** Token bucket and in-flight count of one subject. */
interface Meter {
  tokens: number;
  updatedAt: number;
  inFlight: number;
}

type LimitDecision =
  | { kind: 'acquired'; release: () => void }
  | {
      kind: 'refused';
      reason: Extract<RefusalName, 'rateLimited' | 'inFlightLimited'>;
      retryAfterMs: number;
    };

const IN_FLIGHT_RETRY_AFTER_MS = 500;
const MAX_METERS = 20_000;

/**
 * Creates a limiter with a token bucket and an in-flight count for each subject (a team or an
 * adapter). A bucket holds the requests of one second, and at least one.
 */
export default function createLimiter() {
  const meters = new Map<string, Meter>();

  function getMeter(now: number, subject: string, limits: Limits): Meter {
    const rate = limits.requestsPerSecond ?? Infinity;
    const burst = Math.max(1, rate);
    let meter = meters.get(subject);
    if (!meter) {
      meter = { tokens: burst, updatedAt: now, inFlight: 0 };
      meters.set(subject, meter);
      removeIdleMeters(now);
    }
    meter.tokens = Math.min(burst, meter.tokens + (rate * (now - meter.updatedAt)) / 1000);
    meter.updatedAt = now;
    return meter;
  }

  /** Removes meters without use for a minute, if there are more than `MAX_METERS`. */
  function removeIdleMeters(now: number): void {
    if (meters.size <= MAX_METERS) {
      return;
    }
    meters.forEach((meter, subject) => {
      if (meter.inFlight === 0 && now - meter.updatedAt > 60_000) {
        meters.delete(subject);
      }
    });
  }

  /**
   * Counts a request against all subjects, or against none if one of them is at a limit. `release`
   * ends the request for the in-flight counts; only its first call has an effect.
   */
  function tryAcquire(now: number, subjects: { subject: string; limits: Limits }[]): LimitDecision {
    const limitedSubjects = subjects
      .filter(({ limits }) => limits.requestsPerSecond ?? limits.inFlight)
      .map(({ subject, limits }) => ({ limits, meter: getMeter(now, subject, limits) }));
    const atInFlightLimit = limitedSubjects.find(
      ({ limits, meter }) => meter.inFlight >= (limits.inFlight ?? Infinity),
    );
    if (atInFlightLimit) {
      return { kind: 'refused', reason: 'inFlightLimited', retryAfterMs: IN_FLIGHT_RETRY_AFTER_MS };
    }
    const atRateLimit = limitedSubjects.find(
      ({ limits, meter }) => limits.requestsPerSecond !== undefined && meter.tokens < 1,
    );
    if (atRateLimit) {
      const waitMs =
        (1000 * (1 - atRateLimit.meter.tokens)) / atRateLimit.limits.requestsPerSecond!;
      return { kind: 'refused', reason: 'rateLimited', retryAfterMs: Math.ceil(waitMs) };
    }
    limitedSubjects.forEach(({ meter }) => {
      meter.tokens -= 1;
      meter.inFlight += 1;
    });
    let isReleasable = true;
    const release = () => {
      if (isReleasable) {
        isReleasable = false;
        limitedSubjects.forEach(({ meter }) => {
          meter.inFlight -= 1;
        });
      }
    };
    return { kind: 'acquired', release };
  }

  return { tryAcquire };
}
