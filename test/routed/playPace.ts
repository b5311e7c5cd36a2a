const TICK_MS = 10;
/** Age of the counts and answers that VMs act on. */
const LAG_MS = 300;
const USUAL_MS = 400;
const SLOTS = 16;
/** An upstream rejects requests beyond this many in flight. */
const MAX_IN_FLIGHT = 24;
const LATE_MULTIPLE = 2.5;

interface Rule {
  getLimit(now: number): number;
  /** Records an answer and how many requests wait at the upstream, as it states. */
  recordAnswer(now: number, multiple: number, waiting: number): void;
  recordRejection(now: number): void;
}

interface Play {
  rule: Rule;
  durationMs: number;
  /** Requests a second for this upstream while its pace does not hold them back. */
  perSecond: number;
  /** Returns how long work takes, as a multiple of the usual, and how many slots serve. */
  getState(now: number): { duration: number; slots: number };
}

/**
 * Plays one upstream after its start, with requests of many VMs that know its in-flight requests and
 * answers of some hundred ms ago.
 */
export default function playPace({ rule, durationMs, perSecond, getState }: Play) {
  const jobs: { sentAt: number; left: number }[] = [];
  const counts: number[] = [];
  const signals: { at: number; apply: (now: number) => void }[] = [];
  const figures = { served: 0, late: 0, rejected: 0, heldBack: 0, idleSlotMs: 0 };
  let due = 0;
  let sentSince: number[] = [];
  for (let now = 0; now < durationMs; now += TICK_MS) {
    while (signals.length > 0 && signals[0].at <= now) {
      signals.shift()!.apply(now);
    }
    due += (perSecond * TICK_MS) / 1000;
    sentSince = sentSince.filter((at) => at > now - LAG_MS);
    for (; due >= 1; due -= 1) {
      // Each VM knows its own requests at once; of those sent within the lag, about a third are known.
      const known =
        (counts[Math.max(0, counts.length - LAG_MS / TICK_MS)] ?? 0) + sentSince.length / 3;
      if (known >= rule.getLimit(now)) {
        figures.heldBack += 1;
      } else if (jobs.length >= MAX_IN_FLIGHT) {
        figures.rejected += 1;
        signals.push({ at: now + LAG_MS, apply: rule.recordRejection });
      } else {
        jobs.push({ sentAt: now, left: USUAL_MS });
        sentSince.push(now);
      }
    }
    const { duration, slots } = getState(now);
    jobs.slice(0, slots).forEach((job) => {
      Object.assign(job, { left: job.left - TICK_MS / duration });
    });
    figures.idleSlotMs += Math.max(0, slots - jobs.length) * TICK_MS;
    for (let index = jobs.length - 1; index >= 0; index -= 1) {
      if (jobs[index].left <= 0) {
        const [{ sentAt }] = jobs.splice(index, 1);
        const multiple = (now - sentAt) / USUAL_MS;
        figures.served += 1;
        figures.late += multiple > LATE_MULTIPLE ? 1 : 0;
        const waiting = Math.max(0, jobs.length - slots);
        signals.push({ at: now + LAG_MS, apply: (at) => rule.recordAnswer(at, multiple, waiting) });
      }
    }
    counts.push(jobs.length);
  }
  const { idleSlotMs, ...others } = figures;
  return { ...others, idlePart: idleSlotMs / (SLOTS * durationMs) };
}
