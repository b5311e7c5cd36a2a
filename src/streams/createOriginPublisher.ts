import { z } from 'zod';
import type Log from '../events/Log';
import type KeyValue from '../keyValue/KeyValue';
import type Message from '../mesh/Message';
import type StreamOrigin from './StreamOrigin';

const KEY_PREFIX = '/baobablink/streamOrigins/';
/** Records outlive the time for which a stream may be resumed by as long as a lease is reused. */
const LEASE_SECONDS = 60;
const LEASE_REUSED_MS = 20_000;
/** Intervals of the messages and of the records of one data centre grow with the number of them. */
const MIN_PUBLISH_INTERVAL_MS = 100;
const PUBLISH_INTERVAL_PER_DATA_CENTRE_MS = 10;
const WRITE_INTERVAL_PER_DATA_CENTRE_MS = 100;
/** Streams that began within this time before all VMs are killed may not be resumed. */
const MAX_WRITE_INTERVAL_MS = 500;
/** Pause after a call to the key-value service that failed. */
const FAILURE_PAUSE_MS = 1000;
/** Origins in one record; a longer backlog is written in several. */
const MAX_RECORD_ORIGINS = 1000;
const MAX_BACKLOG = 20_000;

const OriginsRecord = z.array(z.tuple([z.string(), z.string(), z.string()]));

interface OriginPublisherHost {
  keyValue: Pick<KeyValue, 'transact' | 'grantLease'>;
  /** Returns the VM that publishes the origins of this data centre. */
  getHub(now: number): string;
  getDataCentreCount(): number;
  send(to: string, message: Message): boolean;
  broadcast(message: Message): void;
  log: Log;
}

/**
 * Announces to all VMs where streams began, and records it in the key-value service for VMs that start later.
 * One VM of a data centre does so for the others, a few times a second, without holding up streams.
 */
export default function createOriginPublisher(
  host: OriginPublisherHost,
  options: { address: string; incarnation: string },
) {
  /** Origins of this VM that its hub has not been sent. */
  let unsent: StreamOrigin[] = [];
  /** Origins of this data centre that are to be published by this VM. */
  let unpublished: StreamOrigin[] = [];
  /** Origins that are to be recorded by this VM. */
  let unrecorded: StreamOrigin[] = [];
  let publishedAt = -Infinity;
  let writtenAt = -Infinity;
  let recordCount = 0;
  let isWriting = false;
  let failedAt = -Infinity;
  let lease: { id: string; grantedAt: number } | undefined;

  function add(origins: readonly StreamOrigin[]): void {
    unsent.push(...origins);
  }

  /** Handles the origins of another VM of this data centre, whose hub this one is. */
  function receive(origins: readonly StreamOrigin[]): void {
    unpublished.push(...origins);
  }

  /** Sends what has been added; called at short, regular intervals. */
  function publish(now: number): void {
    if (unsent.length > 0) {
      const hub = host.getHub(now);
      const message: Message = { kind: 'streamOrigins', origins: unsent, isPublished: false };
      if (hub === options.address || !host.send(hub, message)) {
        unpublished.push(...unsent);
      }
      unsent = [];
    }
    const dataCentres = host.getDataCentreCount();
    const publishIntervalMs = Math.max(
      MIN_PUBLISH_INTERVAL_MS,
      PUBLISH_INTERVAL_PER_DATA_CENTRE_MS * dataCentres,
    );
    if (unpublished.length > 0 && now - publishedAt >= publishIntervalMs) {
      publishedAt = now;
      host.broadcast({ kind: 'streamOrigins', origins: unpublished, isPublished: true });
      unrecorded = [...unrecorded, ...unpublished].slice(-MAX_BACKLOG);
      unpublished = [];
    }
    const writeIntervalMs = Math.min(
      MAX_WRITE_INTERVAL_MS,
      WRITE_INTERVAL_PER_DATA_CENTRE_MS * dataCentres,
    );
    const isWriteDue = now - writtenAt >= writeIntervalMs && now - failedAt >= FAILURE_PAUSE_MS;
    if (unrecorded.length > 0 && !isWriting && isWriteDue) {
      writtenAt = now;
      write(now, unrecorded.splice(0, MAX_RECORD_ORIGINS));
    }
  }

  async function write(now: number, origins: StreamOrigin[]): Promise<void> {
    isWriting = true;
    const failure = await tryWrite(now, origins);
    isWriting = false;
    if (failure !== undefined) {
      failedAt = now;
      unrecorded = [...origins, ...unrecorded].slice(-MAX_BACKLOG);
      host.log('streamOriginsUnwritten', { count: origins.length, reason: failure });
    }
  }

  /** Returns why a record was not written, or undefined if it was. */
  async function tryWrite(
    now: number,
    origins: readonly StreamOrigin[],
  ): Promise<string | undefined> {
    if (!lease || now - lease.grantedAt > LEASE_REUSED_MS) {
      const granted = await host.keyValue.grantLease(LEASE_SECONDS);
      if (!granted.ok) {
        return granted.error.kind;
      }
      lease = { id: granted.value, grantedAt: now };
    }
    recordCount += 1;
    const key = `${KEY_PREFIX}${options.incarnation}/${recordCount}`;
    const value = JSON.stringify(
      origins.map(({ request, service, version }) => [request, service, version]),
    );
    const result = await host.keyValue.transact({
      compare: [],
      writes: [{ kind: 'put', key, value, lease: lease.id }],
      readOnFailure: [],
    });
    if (!result.ok) {
      lease = undefined;
      return result.error.kind;
    }
    return undefined;
  }

  /** Returns the origins in a record of the key-value service; none if it is no such record. */
  function readRecord(key: string, value: string | undefined): StreamOrigin[] {
    if (value === undefined || !key.startsWith(KEY_PREFIX)) {
      return [];
    }
    const record = tryParse(value);
    if (!record) {
      host.log('streamOriginsUnreadable', { key });
      return [];
    }
    return record.map(([request, service, version]) => ({ request, service, version }));
  }

  return { add, receive, publish, readRecord };
}

function tryParse(value: string): z.infer<typeof OriginsRecord> | undefined {
  try {
    return OriginsRecord.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
