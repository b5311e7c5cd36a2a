import type Log from '../events/Log';
import type ResponseHead from '../gateway/ResponseHead';
import type Message from '../mesh/Message';
import type Upstream from '../upstream/Upstream';

/** A statement that is not repeated ends after this time. */
const VALID_MS = 5000;
const REPEAT_MS = 1000;
const MIN_REDIRECT_STATUS = 300;

interface BrittleServicesHost {
  broadcast(message: Message): void;
  log: Log;
}

/**
 * Keeps the services whose upstreams end if they have to turn many requests away, as these state in all
 * responses. One VM that reads it tells the others, which may not have sent a request yet.
 */
export default function createBrittleServices(host: BrittleServicesHost) {
  const services = new Map<string, { until: number; toldAt: number }>();

  /** Records what the head of a response states. Only a success without the statement ends it. */
  function observe(
    now: number,
    { service }: Pick<Upstream, 'service'>,
    { status, isBrittle: isStated }: Pick<ResponseHead, 'status' | 'isBrittle'>,
  ): void {
    const known = services.get(service);
    if (!isStated) {
      if (known && status < MIN_REDIRECT_STATUS) {
        services.delete(service);
        host.log('serviceBrittle', { service, isBrittle: false });
      }
      return;
    }
    const isTold = known !== undefined && now - known.toldAt < REPEAT_MS;
    record(now, service, isTold ? known.toldAt : now);
    if (!isTold) {
      host.broadcast({ kind: 'serviceBrittle', service });
    }
  }

  function record(now: number, service: string, toldAt: number): void {
    if (!isBrittle(now, { service })) {
      host.log('serviceBrittle', { service, isBrittle: true });
    }
    services.set(service, { until: now + VALID_MS, toldAt });
  }

  function isBrittle(now: number, { service }: Pick<Upstream, 'service'>): boolean {
    return now < (services.get(service)?.until ?? -Infinity);
  }

  return {
    observe,
    isBrittle,
    /** Records what another VM has read. */
    receive: (now: number, service: string) => record(now, service, now),
  };
}
