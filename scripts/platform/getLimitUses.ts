import type ExecutionRecord from '../../standins/platform/ExecutionRecord';

/** Bounds of the contract on limits: see `docs/incidents/2026-12-04-server-limit.md`. */
const CONTACT_MS = 3000;
const WINDOW_MS = 4000;
const EXCESS_RATIO = 1.5;
const EXCESS_REQUESTS = 5;
/** A lowered limit is known to all VMs, and its requests under way have arrived, after this time. */
const CHANGE_MS = 1000;
const STEP_MS = 100;

interface LimitUse {
  server: string;
  /** Requests that arrived while a limit was in force, from the contact time on. */
  arrived: number;
  /** Requests that the limit allowed in that time. */
  allowed: number;
  /** Windows with more requests than the contract allows. */
  violations: string[];
}

/**
 * Returns how far servers that stated limits were used, and the windows in which they got too many
 * requests. Requests for which `isExcused` returns true do not count as too many.
 */
export default function getLimitUses(
  record: ExecutionRecord,
  isExcused: (arrival: { at: number; id: string }) => boolean,
): LimitUse[] {
  const now = Date.now();
  return [...new Set(record.limits.map(({ server }) => server))].map((server) => {
    const changes = record.limits.filter((change) => change.server === server);
    const arrivals = record.limitedArrivals.filter((arrival) => arrival.server === server);
    const getLimits = (from: number, to: number) => {
      const before = changes.filter(({ at }) => at <= from).at(-1);
      const within = changes.filter(({ at }) => at > from && at <= to);
      return [before?.perSecond ?? null, ...within.map(({ perSecond }) => perSecond)];
    };
    const isLimited = (from: number, to: number) =>
      getLimits(from, to).every((perSecond) => perSecond !== null);
    const getAllowed = (from: number, to: number) => {
      let allowed = 0;
      for (let at = from; at < to; at += STEP_MS) {
        allowed += (Math.max(...getLimits(at - CHANGE_MS, at).map(Number)) * STEP_MS) / 1000;
      }
      return allowed;
    };
    const judged = arrivals.filter((arrival) => !isExcused(arrival));
    const violations = judged.flatMap(({ at }) => {
      const count = judged.filter((other) => other.at >= at && other.at < at + WINDOW_MS).length;
      const allowed = EXCESS_RATIO * getAllowed(at, at + WINDOW_MS) + EXCESS_REQUESTS;
      return isLimited(at - CONTACT_MS, at + WINDOW_MS) && count > allowed
        ? [`${at} ${server} got ${count} requests in ${WINDOW_MS} ms, allowed ${allowed}`]
        : [];
    });
    const used = arrivals.filter(({ at }) => isLimited(at - CONTACT_MS, at));
    const periods = changes.flatMap(({ at, perSecond }, index) => {
      const from = Math.max(at, at + (isLimited(at - CONTACT_MS, at) ? 0 : CONTACT_MS));
      const to = changes[index + 1]?.at ?? now;
      return perSecond === null || to <= from ? [] : [(perSecond * (to - from)) / 1000];
    });
    const allowed = periods.reduce((sum, requests) => sum + requests, 0);
    return { server, arrived: used.length, allowed, violations };
  });
}
