import type UpstreamReport from './UpstreamReport';

/** As many as the estimate of a speed keeps. */
const MAX_DURATIONS = 7;

/**
 * Merges the reports of the VMs of a data centre for the other data centres: one for each incarnation,
 * with the newest statement, so that their size does not grow with the number of VMs.
 */
export default function createReportCollector() {
  const reportsById = new Map<string, { at: number; report: UpstreamReport }>();

  /** Adds reports that arrived now. */
  function add(now: number, reports: readonly UpstreamReport[]): void {
    reports.forEach((report) => {
      const known = reportsById.get(report[0]);
      if (!known || known.report[1] < report[1]) {
        reportsById.set(report[0], { at: now, report });
      } else if (known.report[1] === report[1]) {
        const isNewer = now - report[2] >= known.at - known.report[2];
        const [id, startedAt, ageMs, running, waiting, slots, slowdown] = isNewer
          ? report
          : known.report;
        const durations = [...known.report[7], ...report[7]].slice(-MAX_DURATIONS);
        const rejections = known.report[8] + report[8];
        reportsById.set(id, {
          at: isNewer ? now : known.at,
          report: [id, startedAt, ageMs, running, waiting, slots, slowdown, durations, rejections],
        });
      }
    });
  }

  /** Returns the merged reports with their ages now, and forgets them. */
  function take(now: number): UpstreamReport[] {
    const reports = [...reportsById.values()].map(
      ({ at, report: [id, startedAt, ageMs, ...rest] }): UpstreamReport => [
        id,
        startedAt,
        ageMs + Math.round(now - at),
        ...rest,
      ],
    );
    reportsById.clear();
    return reports;
  }

  return { add, take };
}
