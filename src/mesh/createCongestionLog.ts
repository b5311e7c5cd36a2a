import type Log from '../events/Log';

/** More than a slow link of 7 Mbit/s carries in 0.25 s. */
const REPORTED_BYTES = 256 * 1024;
const MIN_REPORT_INTERVAL_MS = 1000;

interface CongestionLogHost {
  getQueuedBytes(): ReadonlyMap<string, number>;
  setQueuedBytes(bytes: number): void;
  log: Log;
}

/** Creates a check that records the bytes queued on the links, and logs a large queue. */
export default function createCongestionLog(host: CongestionLogHost) {
  let reportedAt = -Infinity;

  return function check(now: number): void {
    const queued = host.getQueuedBytes();
    const bytes = [...queued.values()].reduce((sum, linkBytes) => sum + linkBytes, 0);
    host.setQueuedBytes(bytes);
    if (bytes >= REPORTED_BYTES && now - reportedAt >= MIN_REPORT_INTERVAL_MS) {
      reportedAt = now;
      host.log('linkCongested', { bytes, links: queued.size });
    }
  };
}
