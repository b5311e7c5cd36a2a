import type Log from '../events/Log';

/** A VM that is behind another one for this long requests the changes that it lacks. */
const REPAIR_AFTER_MS = 400;
const REPAIR_RETRY_MS = 300;
const REVISION_SAMPLE_MS = 1000;

interface RepairHost {
  /**
   * Requests the changes after a revision from a VM whose mirror is newer than `ownRevision`.
   * Returns false if there is none.
   */
  requestChanges(now: number, afterRevision: number, ownRevision: number): boolean;
  log: Log;
}

/**
 * Notices that a mirror lacks changes that other VMs have, and requests them from one of these. The
 * request goes back by `overlapMs` before the mirror's revision, since reads of the key-value
 * service may have missed changes that were found later.
 */
export default function createRepair(host: RepairHost, options: { overlapMs: number }) {
  let gapSince: number | undefined;
  let isGapRequested = false;
  /** Revision that another VM has reported and this one lacks, and the time of the first report. */
  let behind: { revision: number; since: number } | undefined;
  let requestedAt = -Infinity;
  /** Past revisions, oldest first; only the first one may be older than the overlap. */
  let samples: { at: number; revision: number }[] = [];

  /** Records that a batch starts after the mirror's revision, and requests what lies between. */
  function openGap(now: number, revision: number, nextRevision: number): void {
    if (gapSince === undefined) {
      gapSince = now;
      host.log('changesMissed', { revision, nextRevision });
    }
    isGapRequested = request(now, revision) || isGapRequested;
  }

  function closeGap(now: number, revision: number): void {
    if (gapSince !== undefined) {
      const openMs = Math.round(now - gapSince);
      gapSince = undefined;
      isGapRequested = false;
      host.log('changesRepaired', { revision, openMs });
    }
  }

  /** Returns whether missed changes have to be read from the service, as no VM has sent them. */
  function isGapOverdue(now: number): boolean {
    return gapSince !== undefined && (!isGapRequested || now - gapSince >= REPAIR_AFTER_MS);
  }

  /**
   * Compares the mirror's revision with the one that another VM has reported, and requests the
   * missing changes if they do not arrive by themselves.
   */
  function compareRevision(now: number, revision: number, reportedRevision: number): void {
    if (behind !== undefined && behind.revision > revision) {
      if (now - behind.since >= REPAIR_AFTER_MS) {
        request(now, revision);
      }
      return;
    }
    behind = reportedRevision > revision ? { revision: reportedRevision, since: now } : undefined;
  }

  /** Records the mirror's revision after each step. */
  function recordRevision(now: number, revision: number): void {
    const last = samples.at(-1);
    if (last === undefined || now - last.at >= REVISION_SAMPLE_MS) {
      samples.push({ at: now, revision });
    }
    if (samples.length > 1 && now - samples[1].at >= options.overlapMs) {
      samples = samples.slice(1);
    }
  }

  /** Requests the missing changes; returns whether a request was sent. */
  function request(now: number, revision: number): boolean {
    if (samples.length === 0 || now - requestedAt < REPAIR_RETRY_MS) {
      return false;
    }
    requestedAt = now;
    return host.requestChanges(now, samples[0].revision, revision);
  }

  return { openGap, closeGap, isGapOverdue, compareRevision, recordRevision };
}
