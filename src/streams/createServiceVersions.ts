import { z } from 'zod';
import type Log from '../events/Log';
import type KeyValue from '../keyValue/KeyValue';
import type Upstream from '../upstream/Upstream';
import getSoftwareVersion from './getSoftwareVersion';
import RESUMABLE_MS from './RESUMABLE_MS';

const KEY_PREFIX = '/baobablink/softwareVersions/';
/** A VM that follows the key-value service has a record after this time. */
const KNOWN_AFTER_MS = 2000;
/** Time for a written record to come back by the key-value service, or for a failed call to end. */
const WRITE_PAUSE_MS = 1000;

const VersionsRecord = z.object({ versions: z.array(z.string()) });

interface ServiceVersionsHost {
  keyValue: Pick<KeyValue, 'transact'>;
  /** Returns a record of the key-value service as this VM knows it. */
  tryGetRecord(key: string): { value?: string; revision: number } | undefined;
  getUpstreams(): Upstream[];
  /** Returns the services whose streams may be resumed. */
  getServices(): ReadonlySet<string>;
  log: Log;
}

/**
 * Knows the software versions at which streams of a service can have begun: those of its upstreams, and
 * those that had upstreams as long ago as a stream may be resumed. They are recorded in the key-value
 * service, since a VM that has just started has seen no upstream leave.
 */
export default function createServiceVersions(host: ServiceVersionsHost) {
  /** When a version last had an upstream, by service and version. */
  const seenAt = new Map<string, Map<string, number>>();
  /** When this VM received the record that names a version, by service and version. */
  const recordedAt = new Map<string, Map<string, number>>();
  const writtenAt = new Map<string, number>();

  function see(now: number, service: string, version: string): void {
    const versions = seenAt.get(service) ?? new Map<string, number>();
    seenAt.set(service, versions.set(version, now));
  }

  /** Updates what is known from the registered upstreams; called at regular intervals. */
  function refresh(now: number): void {
    host
      .getUpstreams()
      .filter(({ service }) => host.getServices().has(service))
      .forEach((upstream) => see(now, upstream.service, getSoftwareVersion(upstream)));
    seenAt.forEach((versions) =>
      versions.forEach((at, version) => {
        if (now - at > RESUMABLE_MS) {
          versions.delete(version);
        }
      }),
    );
  }

  /** Returns the versions at which streams can have begun that may still be resumed. */
  function getVersions(service: string): string[] {
    return [...(seenAt.get(service)?.keys() ?? [])].sort();
  }

  /**
   * Returns whether all VMs that follow the key-value service know the version of an upstream, so that
   * none takes a stream that begins there for one of another version.
   */
  function isKnownToAll(now: number, upstream: Upstream): boolean {
    const at = recordedAt.get(upstream.service)?.get(getSoftwareVersion(upstream));
    return at !== undefined && now - at >= KNOWN_AFTER_MS;
  }

  function receiveRecord(now: number, key: string, value: string | undefined): void {
    if (!key.startsWith(KEY_PREFIX)) {
      return;
    }
    const service = key.slice(KEY_PREFIX.length);
    const record = value === undefined ? { versions: [] } : tryReadRecord(value);
    if (!record) {
      host.log('softwareVersionsUnreadable', { service });
      return;
    }
    const before = recordedAt.get(service);
    record.versions
      .filter((version) => !before?.has(version))
      .forEach((version) => see(now, service, version));
    recordedAt.set(
      service,
      new Map(record.versions.map((version) => [version, before?.get(version) ?? now])),
    );
    host.log('softwareVersionsRecorded', { service, versions: record.versions });
  }

  /** Handles that the key-value service has come back without a record, which is then written again. */
  function handleForgotten(key: string): void {
    if (key.startsWith(KEY_PREFIX)) {
      recordedAt.delete(key.slice(KEY_PREFIX.length));
    }
  }

  /** Writes the records that differ from what this VM knows. */
  function write(now: number): void {
    host.getServices().forEach((service) => {
      const versions = getVersions(service);
      const recorded = [...(recordedAt.get(service)?.keys() ?? [])].sort();
      const isEqual = JSON.stringify(versions) === JSON.stringify(recorded);
      const sinceWrittenMs = now - (writtenAt.get(service) ?? -Infinity);
      if (versions.length > 0 && !isEqual && sinceWrittenMs >= WRITE_PAUSE_MS) {
        writtenAt.set(service, now);
        writeRecord(service, versions);
      }
    });
  }

  async function writeRecord(service: string, versions: string[]): Promise<void> {
    const key = `${KEY_PREFIX}${service}`;
    const result = await host.keyValue.transact({
      compare: [{ key, modRevision: host.tryGetRecord(key)?.revision ?? 0 }],
      writes: [{ kind: 'put', key, value: JSON.stringify({ versions }) }],
      readOnFailure: [],
    });
    if (!result.ok) {
      host.log('softwareVersionsUnwritten', { service, reason: result.error.kind });
    }
  }

  return { refresh, getVersions, isKnownToAll, receiveRecord, handleForgotten, write };
}

function tryReadRecord(value: string): z.infer<typeof VersionsRecord> | undefined {
  try {
    return VersionsRecord.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
