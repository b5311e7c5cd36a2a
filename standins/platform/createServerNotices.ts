import type ExecutionRecord from './ExecutionRecord';

const MS_PER_SECOND = 1000;

/** What a server states in a response, and whether it turns the request away. */
interface Notice {
  headers: Record<string, string>;
  isTurnedAway: boolean;
}

/** Keeps what servers state in their responses: limits, that they leave, and for how long they rest. */
export default function createServerNotices(
  record: ExecutionRecord,
  host: { getBootTime(server: string): number | undefined },
) {
  const limits = new Map<string, number>();
  /** Requests that a server turns away in a second before it ends. */
  const brittle = new Map<string, number>();
  const refusals = new Map<string, number[]>();
  const leaving = new Set<string>();
  /** Until when a server turns requests away, and the seconds that it states. */
  const rests = new Map<string, { until: number; seconds: number }>();

  /** Records an arrival and returns what the server states in its response. */
  function recordArrival(server: string, id: string): Notice {
    const at = Date.now();
    const boot = host.getBootTime(server) ?? 0;
    const limit = limits.get(server);
    if (record.limits.some((stated) => stated.server === server)) {
      record.limitedArrivals.push({ at, server, id });
    }
    const rest = rests.get(server);
    const isTurnedAway = rest !== undefined && at < rest.until;
    if (record.notices.some((notice) => notice.server === server) || isTurnedAway) {
      record.noticedArrivals.push({ at, server, boot, id });
    }
    if (isTurnedAway) {
      const endsAt = at + rest.seconds * MS_PER_SECOND;
      record.notices.push({ at, server, boot, id, kind: 'rest', endsAt });
    }
    if (leaving.has(server)) {
      record.notices.push({ at, server, boot, id, kind: 'leaving', endsAt: null });
    }
    return {
      isTurnedAway,
      headers: {
        ...(limit !== undefined && { 'server-limit': String(limit) }),
        ...(brittle.has(server) && { 'server-brittle': String(brittle.get(server)) }),
        ...(leaving.has(server) && { 'server-leaving': '1' }),
        ...(isTurnedAway && { 'retry-after': String(rest.seconds) }),
      },
    };
  }

  function setLimit(server: string, perSecond: number | null): void {
    if (perSecond === null && !limits.delete(server)) {
      return;
    }
    if (perSecond !== null) {
      limits.set(server, perSecond);
    }
    record.limits.push({ at: Date.now(), server, perSecond });
  }

  /** Records that a server had no room for a request; returns whether that ends the server. */
  function isEndedByRefusal(server: string): boolean {
    const now = Date.now();
    const recent = (refusals.get(server) ?? []).filter((at) => at > now - MS_PER_SECOND);
    refusals.set(server, [...recent, now]);
    const isEnded = recent.length + 1 > (brittle.get(server) ?? Infinity);
    if (isEnded) {
      refusals.delete(server);
      record.falls.push({ at: now, server });
    }
    return isEnded;
  }

  return {
    recordArrival,
    isEndedByRefusal,
    isBrittle: (server: string) => brittle.has(server),
    setBrittle: (server: string, maxTurnedAway: number) => brittle.set(server, maxTurnedAway),
    setLimit,
    leave: (server: string) => leaving.add(server),
    turnAway: (server: string, seconds: number, forMs: number) =>
      rests.set(server, { seconds, until: Date.now() + forMs }),
    /** Forgets what a server stated before it restarted. */
    reset: (server: string) => {
      setLimit(server, null);
      leaving.delete(server);
      rests.delete(server);
    },
    isLeaving: (server: string) => leaving.has(server),
  };
}
