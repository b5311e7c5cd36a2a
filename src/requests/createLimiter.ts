import type RefusalName from '../messages/RefusalName';

interface Limits {
  requestsPerSecond?: number;
  inFlight?: number;
}

interface Meter {
  tokens: number;
  at: number;
  inFlight: number;
}

type Verdict =
  | { kind: 'taken'; release: () => void }
  | {
      kind: 'refused';
      reason: Extract<RefusalName, 'rateLimited' | 'inFlightLimited'>;
      retryAfterMs: number;
    };

const IN_FLIGHT_RETRY_MS = 500;
const MAX_METERS = 20_000;

/** Token buckets and in-flight counts by subject (a team, an adapter), with a second's burst. */
export default function createLimiter() {
  const meters = new Map<string, Meter>();

  function getMeter(now: number, subject: string, limits: Limits): Meter {
    const rate = limits.requestsPerSecond ?? Infinity;
    const burst = Math.max(1, rate);
    let meter = meters.get(subject);
    if (!meter) {
      meter = { tokens: burst, at: now, inFlight: 0 };
      meters.set(subject, meter);
      dropIdleMeters(now);
    }
    meter.tokens = Math.min(burst, meter.tokens + (rate * (now - meter.at)) / 1000);
    meter.at = now;
    return meter;
  }

  function dropIdleMeters(now: number): void {
    if (meters.size <= MAX_METERS) {
      return;
    }
    meters.forEach((meter, subject) => {
      if (meter.inFlight === 0 && now - meter.at > 60_000) {
        meters.delete(subject);
      }
    });
  }

  /** Takes one request against all subjects or against none. */
  function tryTake(now: number, subjects: { subject: string; limits: Limits }[]): Verdict {
    const limited = subjects
      .filter(({ limits }) => limits.requestsPerSecond ?? limits.inFlight)
      .map(({ subject, limits }) => ({ limits, meter: getMeter(now, subject, limits) }));
    const crowded = limited.find(
      ({ limits, meter }) => meter.inFlight >= (limits.inFlight ?? Infinity),
    );
    if (crowded) {
      return { kind: 'refused', reason: 'inFlightLimited', retryAfterMs: IN_FLIGHT_RETRY_MS };
    }
    const spent = limited.find(
      ({ limits, meter }) => limits.requestsPerSecond !== undefined && meter.tokens < 1,
    );
    if (spent) {
      const waitMs = (1000 * (1 - spent.meter.tokens)) / spent.limits.requestsPerSecond!;
      return { kind: 'refused', reason: 'rateLimited', retryAfterMs: Math.ceil(waitMs) };
    }
    limited.forEach(({ meter }) => {
      meter.tokens -= 1;
      meter.inFlight += 1;
    });
    let isHeld = true;
    const release = () => {
      if (isHeld) {
        isHeld = false;
        limited.forEach(({ meter }) => {
          meter.inFlight -= 1;
        });
      }
    };
    return { kind: 'taken', release };
  }

  return { tryTake };
}
