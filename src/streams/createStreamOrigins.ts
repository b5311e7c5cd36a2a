import type Log from '../events/Log';
import type CallerRequest from '../gateway/CallerRequest';
import type KeyValue from '../keyValue/KeyValue';
import type Route from '../manifest/Route';
import type Message from '../mesh/Message';
import type Upstream from '../upstream/Upstream';
import createOriginMemory from './createOriginMemory';
import createOriginPublisher from './createOriginPublisher';
import createServiceVersions from './createServiceVersions';
import getSoftwareVersion from './getSoftwareVersion';
import type StreamOrigin from './StreamOrigin';

interface StreamOriginsHost {
  keyValue: Pick<KeyValue, 'transact' | 'grantLease'>;
  tryGetRecord(key: string): { value?: string; revision: number } | undefined;
  /** Returns whether this VM writes to the key-value service for the others. */
  isWriter(now: number): boolean;
  /** Returns whether this VM learns of a new version of upstreams as soon as others use it. */
  isUpToDate(now: number): boolean;
  getUpstreams(): Upstream[];
  /** Returns the services whose streams may be resumed. */
  getServices(): ReadonlySet<string>;
  getHub(now: number): string;
  getDataCentreCount(): number;
  send(to: string, message: Message): boolean;
  broadcast(message: Message): void;
  log: Log;
}

/**
 * Knows at which software version a stream began, so that it goes on there only. While a service has
 * had one version for longer than a stream may be resumed, nothing is recorded for it. A stream whose
 * version is not known does not go on.
 */
export default function createStreamOrigins(
  host: StreamOriginsHost,
  options: { address: string; incarnation: string },
) {
  const origins = createOriginMemory();
  const ownOrigins = createOriginMemory();
  const versions = createServiceVersions(host);
  const publisher = createOriginPublisher(host, options);
  const mixedServices = new Set<string>();

  /** Records that a stream began at an upstream of this VM's choice. */
  function recordBegin(now: number, request: string, upstream: Upstream): void {
    const { service } = upstream;
    const origin = { request, service, version: getSoftwareVersion(upstream) };
    origins.add(now, origin);
    ownOrigins.add(now, origin);
    if (mixedServices.has(service)) {
      publisher.add([origin]);
    }
  }

  /** Returns where the stream began that a request resumes; undefined if that is not known. */
  function tryGetOrigin(
    now: number,
    request: CallerRequest,
    route: Route,
  ): StreamOrigin | undefined {
    const id = request.resumedRequest ?? request.id;
    const known = origins.tryGet(id);
    if (known) {
      return known;
    }
    const [target, ...otherTargets] = route.targets;
    const [version, ...otherVersions] = versions.getVersions(target.service);
    const isOnlyOne =
      otherTargets.length === 0 && version !== undefined && otherVersions.length === 0;
    return isOnlyOne && host.isUpToDate(now)
      ? { request: id, service: target.service, version }
      : undefined;
  }

  function receive(now: number, received: readonly StreamOrigin[], isPublished: boolean): void {
    received.forEach((origin) => origins.add(now, origin));
    if (!isPublished) {
      publisher.receive(received);
    }
  }

  function receiveRecord(now: number, key: string, value: string | undefined): void {
    versions.receiveRecord(now, key, value);
    publisher.readRecord(key, value).forEach((origin) => origins.add(now, origin));
  }

  /** Publishes what other VMs have to know; called at short, regular intervals. */
  function publish(now: number): void {
    versions.refresh(now);
    host.getServices().forEach((service) => {
      if (versions.getVersions(service).length <= 1) {
        mixedServices.delete(service);
      } else if (!mixedServices.has(service)) {
        mixedServices.add(service);
        const begun = ownOrigins.getOf(now, service);
        publisher.add(begun);
        host.log('softwareVersionsMixed', {
          service,
          versions: versions.getVersions(service),
          streams: begun.length,
        });
      }
    });
    if (host.isWriter(now)) {
      versions.write(now);
    }
    publisher.publish(now);
  }

  return {
    recordBegin,
    tryGetOrigin,
    isKnownToAll: versions.isKnownToAll,
    receive,
    receiveRecord,
    handleForgotten: versions.handleForgotten,
    publish,
  };
}
