/** From this time after a partition began, first attempts at partitioned VMs count. */
const CONTACT_MS = 3000;
const SUCCESS = 200;
/** Bounds of the contract: see `docs/incidents/2026-12-05-partitioned-vms.md`. */
const MIN_SERVED_RATIO = 2 / 3;
const TOLERATED_FAILURES = 10;
const TOLERATED_RATIO = 1 / 50;

interface Attempt {
  vm: string;
  sentAt: number;
  status: number;
}

/** Returns what first attempts got at partitioned VMs and at the others, and whether that is allowed. */
export default function getPartitionShares(
  attempts: readonly Attempt[],
  partition: { vms: readonly string[]; from: number; to: number },
): { there: string; elsewhere: string; isAllowed: boolean } {
  const counted = attempts.filter(
    ({ sentAt }) => sentAt >= partition.from + CONTACT_MS && sentAt < partition.to,
  );
  const count = (isThere: boolean) => {
    const sent = counted.filter(({ vm }) => partition.vms.includes(vm) === isThere);
    return { sent: sent.length, served: sent.filter(({ status }) => status === SUCCESS).length };
  };
  const [there, elsewhere] = [count(true), count(false)];
  const isAllowed =
    there.served / Math.max(1, there.sent) >=
      (MIN_SERVED_RATIO * elsewhere.served) / Math.max(1, elsewhere.sent) ||
    there.sent - there.served <= TOLERATED_FAILURES + there.sent * TOLERATED_RATIO;
  return {
    there: `${there.served} of ${there.sent}`,
    elsewhere: `${elsewhere.served} of ${elsewhere.sent}`,
    isAllowed,
  };
}
