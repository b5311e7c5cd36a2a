import RESUMABLE_MS from './RESUMABLE_MS';
import type StreamOrigin from './StreamOrigin';

/** About 15 MB; at the rates of `docs/CAPACITY.md`, streams are forgotten by their age before. */
const MAX_ORIGINS = 100_000;

/** Remembers where streams began, for as long as they may be resumed. */
export default function createOriginMemory() {
  const origins = new Map<string, StreamOrigin & { at: number }>();

  function add(now: number, origin: StreamOrigin): void {
    origins.delete(origin.request);
    origins.set(origin.request, { ...origin, at: now });
    removeExpired(now);
  }

  function removeExpired(now: number): void {
    for (const [request, { at }] of origins) {
      if (origins.size <= MAX_ORIGINS && now - at <= RESUMABLE_MS) {
        return;
      }
      origins.delete(request);
    }
  }

  return {
    add,
    tryGet: (request: string): StreamOrigin | undefined => origins.get(request),
    /** Returns the origins of streams that began at a service, without those that are too old. */
    getOf: (now: number, service: string): StreamOrigin[] =>
      [...origins.values()]
        .filter((origin) => origin.service === service && now - origin.at <= RESUMABLE_MS)
        .map(({ request, version }) => ({ request, service, version })),
  };
}
