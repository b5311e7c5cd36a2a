import type ExecutionRecord from '../../standins/platform/ExecutionRecord';

/** Bounds of the contract: see `docs/incidents/2026-12-05-leaving-upstreams.md`. */
const DRAIN_MS = 3000;
const UNDER_WAY_MS = 500;
const MAX_ARRIVALS = 2;

/**
 * Returns the violations by requests that reached servers which had stated to the sending VM that they
 * leave, or want no requests for some time. Arrivals for which `isExcused` returns true do not count.
 */
export default function getNoticeViolations(
  record: ExecutionRecord,
  getRequest: (id: string) => { vm: string; sentAt: number } | undefined,
  isExcused: (vm: string, at: number) => boolean = () => false,
): string[] {
  const getArrivals = (notice: ExecutionRecord['notices'][number], vm: string) =>
    record.noticedArrivals
      .filter(({ server, boot }) => server === notice.server && boot === notice.boot)
      .map((arrival) => ({ ...arrival, ...getRequest(arrival.id) }))
      .filter((arrival) => arrival.vm === vm && !isExcused(vm, arrival.at));
  return record.notices.flatMap((notice) => {
    const vm = getRequest(notice.id)?.vm;
    if (vm === undefined) {
      return [];
    }
    const arrivals = getArrivals(notice, vm);
    const { server, at } = notice;
    if (notice.kind === 'leaving') {
      const late = arrivals.filter(({ sentAt = 0 }) => sentAt > at + DRAIN_MS);
      return late.length > 0
        ? [`${late.length} requests reached ${server} from ${vm}, told at ${at} that it leaves`]
        : [];
    }
    const resting = arrivals.filter(
      (arrival) => arrival.at > at + UNDER_WAY_MS && arrival.at < notice.endsAt!,
    );
    return resting.length > MAX_ARRIVALS
      ? [`${resting.length} requests reached ${server} from ${vm} in a rest that began at ${at}`]
      : [];
  });
}
