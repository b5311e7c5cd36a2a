import type StatedLoad from '../gateway/StatedLoad';
import type Upstream from '../upstream/Upstream';
import createDurationEstimate from './createDurationEstimate';
import createMedianEstimate from './createMedianEstimate';
import type UpstreamReport from './UpstreamReport';

type Incarnation = Pick<Upstream, 'id' | 'startedAt' | 'service'>;

/** An older value is treated as absent: in this time, an upstream serves several requests in each slot. */
const STATED_VALID_MS = 1500;
/**
 * Bounds of a multiple of the usual duration, so that a false value makes an upstream neither
 * irresistible nor unusable.
 */
const MIN_MULTIPLE = 0.25;
const MAX_MULTIPLE = 8;
/** Time constant at which a stated slowdown gives way to the mean of those stated before. */
const SLOWDOWN_TIME_CONSTANT_MS = 600;
/** Weight of a statement in the mean slowdown. */
const MEAN_WEIGHT = 0.02;
/** Multiples of the usual are sent in hundredths. */
const HUNDREDTHS = 100;
/** A report of the same statement by way of another VM seems newer by the time on the way. */
const ECHO_MS = 20;
/** Durations in a report; those of several VMs make up the median of seven. */
const MAX_REPORTED_DURATIONS = 3;

interface Statement extends StatedLoad {
  at: number;
  /** In-flight requests of this VM there when the statement was made. */
  ownInFlight: number;
}

interface Known {
  startedAt: number;
  stated: Statement | undefined;
  meanSlowdown: number | undefined;
  slowdownCount: number;
  durations: ReturnType<typeof createDurationEstimate>;
  unreportedDurations: number[];
  unreportedRejections: number;
}

interface UpstreamLoadsHost {
  /** Returns the requests that this VM has in flight at an upstream. */
  getOwnInFlight(id: string): number;
  tryGetUpstream(id: string): Incarnation | undefined;
  /** Called for each answer, with its duration as a multiple of the usual. */
  onAnswer(now: number, upstream: string, multiple: number): void;
  /** Called for each newer load that an upstream states. */
  onStated(now: number, upstream: string, waiting: number, isFirst: boolean): void;
  /** Called if an upstream rejected requests or did not answer them. */
  onRejection(now: number, upstream: string): void;
}

/**
 * Holds what upstreams state about their load, and what their answers show about their speed, for
 * each incarnation. Each VM sees few answers of one upstream (a tenth of one per second with 60 VMs and
 * 60 upstreams); the VMs therefore report to each other what they learn. Constant time for each answer.
 */
export default function createUpstreamLoads(host: UpstreamLoadsHost) {
  const knownById = new Map<string, Known>();
  /** Median durations of answers, by service and kind of answer. */
  const medians = new Map<string, ReturnType<typeof createMedianEstimate>>();
  const unreported = new Map<string, Known>();
  /** Services of which an upstream has stated a load. */
  const statingServices = new Set<string>();
  /** Services of which an upstream has responded without a load. */
  const silentServices = new Set<string>();

  /** Returns what is known of an incarnation; undefined if a newer one is known. */
  function getKnown({ id, startedAt }: Pick<Incarnation, 'id' | 'startedAt'>): Known | undefined {
    const known = knownById.get(id);
    if (known && known.startedAt >= startedAt) {
      return known.startedAt === startedAt ? known : undefined;
    }
    const created: Known = {
      startedAt,
      stated: undefined,
      meanSlowdown: undefined,
      slowdownCount: 0,
      durations: createDurationEstimate(),
      unreportedDurations: [],
      unreportedRejections: 0,
    };
    knownById.set(id, created);
    unreported.delete(id);
    return created;
  }

  /** Records the load that a response states. */
  function observe(now: number, upstream: Incarnation, load: StatedLoad | undefined): void {
    if (!load) {
      silentServices.add(upstream.service);
    }
    const known = load && getKnown(upstream);
    if (known) {
      statingServices.add(upstream.service);
      const isFirst = known.stated === undefined;
      state(known, { ...load, at: now, ownInFlight: host.getOwnInFlight(upstream.id) });
      host.onStated(now, upstream.id, load.waiting, isFirst);
      unreported.set(upstream.id, known);
    }
  }

  function state(known: Known, statement: Statement): void {
    if (known.stated && statement.at <= known.stated.at) {
      return;
    }
    known.stated = statement;
    if (statement.slowdown !== undefined) {
      const slowdown = limit(statement.slowdown);
      known.slowdownCount += 1;
      const weight = Math.max(MEAN_WEIGHT, 1 / known.slowdownCount);
      known.meanSlowdown = (known.meanSlowdown ?? 0) * (1 - weight) + slowdown * weight;
    }
  }

  /**
   * Records how long an answer, or a part of it, took. `kind` distinguishes answers whose durations can
   * be compared: by service, route and part.
   */
  function recordDuration(
    now: number,
    upstream: Incarnation,
    kind: string,
    durationMs: number,
  ): void {
    const known = getKnown(upstream);
    if (!known || !(durationMs > 0 && Number.isFinite(durationMs))) {
      return;
    }
    const median = medians.get(kind) ?? createMedianEstimate();
    medians.set(kind, median);
    // What the upstream states about this moment is added again in `getDuration`.
    const usualMs = durationMs / getSlowdown(now, known);
    const multiple = limit(usualMs / median.record(usualMs));
    known.durations.record(now, multiple);
    host.onAnswer(now, upstream.id, multiple);
    if (known.stated && known.unreportedDurations.length < MAX_REPORTED_DURATIONS) {
      known.unreportedDurations.push(Math.round(multiple * HUNDREDTHS));
      unreported.set(upstream.id, known);
    }
  }

  /** Records that an upstream rejected a request or did not answer it. */
  function recordRejection(now: number, upstream: Incarnation): void {
    host.onRejection(now, upstream.id);
    const known = getKnown(upstream);
    if (known?.stated) {
      known.unreportedRejections += 1;
      unreported.set(upstream.id, known);
    }
  }

  /** Returns the newest load that an upstream states, with what this VM has sent there since. */
  function getStated(
    now: number,
    { id, startedAt }: Pick<Incarnation, 'id' | 'startedAt'>,
  ): { inFlight: number; waiting: number; slots: number; ageMs: number } | undefined {
    const known = knownById.get(id);
    const stated = known?.startedAt === startedAt ? known.stated : undefined;
    if (!stated || now - stated.at > STATED_VALID_MS) {
      return undefined;
    }
    const own = host.getOwnInFlight(id);
    return {
      inFlight: Math.max(own, stated.running + stated.waiting + own - stated.ownInFlight),
      waiting: stated.waiting,
      slots: stated.slots,
      ageMs: Math.max(0, now - stated.at),
    };
  }

  /**
   * Returns how long work takes at an upstream now, as a multiple of the median upstream of its service;
   * undefined if that is not known.
   */
  function getDuration(
    now: number,
    { id, startedAt }: Pick<Incarnation, 'id' | 'startedAt'>,
  ): number | undefined {
    const known = knownById.get(id);
    if (known?.startedAt !== startedAt) {
      return undefined;
    }
    const learned = known.durations.get(now);
    return learned === undefined && known.meanSlowdown === undefined
      ? undefined
      : limit((learned ?? 1) * getSlowdown(now, known));
  }

  /** Returns the lasting duration of work at an upstream, without that of the moment; 1 if unknown. */
  function getUsualDuration({ id, startedAt }: Pick<Incarnation, 'id' | 'startedAt'>): number {
    const known = knownById.get(id);
    return known?.startedAt === startedAt && known.stated
      ? limit((known.durations.getUsual() ?? 1) * (known.meanSlowdown ?? 1))
      : 1;
  }

  /** Returns the duration of work that an upstream states; an old value gives way to the mean. */
  function getSlowdown(now: number, { stated, meanSlowdown }: Known): number {
    if (stated === undefined || meanSlowdown === undefined) {
      return 1;
    }
    const freshness = Math.exp(Math.min(0, stated.at - now) / SLOWDOWN_TIME_CONSTANT_MS);
    const newest = limit(stated.slowdown ?? meanSlowdown);
    return meanSlowdown + freshness * (newest - meanSlowdown);
  }

  /** Returns the speed of an upstream relative to the median of its service; undefined if unknown. */
  function getSpeed(
    now: number,
    upstream: Pick<Incarnation, 'id' | 'startedAt'>,
  ): number | undefined {
    const duration = getDuration(now, upstream);
    return duration === undefined ? undefined : 1 / duration;
  }

  /** Returns what this VM learned since the last call. */
  function takeReports(now: number): UpstreamReport[] {
    const reports = [...unreported].flatMap(([id, known]): UpstreamReport[] => {
      const { startedAt, stated, unreportedDurations, unreportedRejections } = known;
      Object.assign(known, { unreportedDurations: [], unreportedRejections: 0 });
      if (!stated) {
        return [];
      }
      const { at, running, waiting, slots } = stated;
      const slowdown = Math.round((stated.slowdown ?? 0) * HUNDREDTHS);
      const ageMs = Math.round(now - at);
      return [
        [
          id,
          startedAt,
          ageMs,
          running,
          waiting,
          slots,
          slowdown,
          unreportedDurations,
          unreportedRejections,
        ],
      ];
    });
    unreported.clear();
    return reports;
  }

  /** Records what other VMs learned about upstreams that are registered. */
  function receiveReports(now: number, reports: readonly UpstreamReport[]): void {
    reports.forEach((report) => {
      const [id, startedAt] = report;
      const upstream = host.tryGetUpstream(id);
      const known = upstream?.startedAt === startedAt ? getKnown(upstream) : undefined;
      if (upstream && known) {
        statingServices.add(upstream.service);
        receiveReport(now, known, report);
      }
    });
  }

  function receiveReport(now: number, known: Known, report: UpstreamReport): void {
    const [id, , ageMs, running, waiting, slots, slowdown, durations, rejections] = report;
    const at = now - Math.max(0, ageMs);
    if (at > (known.stated?.at ?? -Infinity) + ECHO_MS) {
      const isFirst = known.stated === undefined;
      const ownInFlight = host.getOwnInFlight(id);
      const statedSlowdown = slowdown > 0 ? slowdown / HUNDREDTHS : undefined;
      state(known, { running, waiting, slots, slowdown: statedSlowdown, at, ownInFlight });
      host.onStated(now, id, waiting, isFirst);
    }
    durations
      .filter((hundredths) => hundredths > 0)
      .forEach((hundredths) => {
        const multiple = limit(hundredths / HUNDREDTHS);
        known.durations.record(now, multiple);
        host.onAnswer(now, id, multiple);
      });
    if (rejections > 0) {
      host.onRejection(now, id);
    }
  }

  return {
    observe,
    recordDuration,
    recordRejection,
    getStated,
    getDuration,
    getUsualDuration,
    getSpeed,
    /** Returns whether an upstream of a service has stated a load. */
    isStated: (service: string) => statingServices.has(service),
    /** Returns whether upstreams of a service have responded, and none has stated a load. */
    isUnstated: (service: string) => silentServices.has(service) && !statingServices.has(service),
    takeReports,
    receiveReports,
    remove: (id: string) => {
      knownById.delete(id);
      unreported.delete(id);
    },
  };
}

/** Keeps a multiple of the usual duration within its bounds; one that is not a number is ignored. */
function limit(multiple: number): number {
  return Number.isNaN(multiple) ? 1 : Math.min(MAX_MULTIPLE, Math.max(MIN_MULTIPLE, multiple));
}
