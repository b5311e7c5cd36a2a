import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Metrics from '../metrics/Metrics';
import type Time from '../shared/Time';
import type Ownership from './Ownership';
import type Residency from './Residency';

const ANNOUNCE_PAUSE_MS = 1000;
const ANNOUNCE_WHOLE_MS = 10_000;

interface AnnouncerHost extends Time {
  send(to: string, message: Message): boolean;
}

/** Tells all VMs which adapters lie where: changes at most once a second, all now and then. */
export default function createAnnouncer(
  host: AnnouncerHost,
  parts: { members: Members; residency: Residency; metrics: Metrics },
  options: { address: string },
) {
  const { members, residency, metrics } = parts;

  function announceSoon(ownership: Ownership): void {
    if (!ownership.isAnnouncing) {
      ownership.isAnnouncing = true;
      host.setTimer(ANNOUNCE_PAUSE_MS, () => announce(ownership));
    }
  }

  function announce(ownership: Ownership): void {
    ownership.isAnnouncing = false;
    if (ownership.isEnded) {
      return;
    }
    const now = host.now();
    const isWhole = now - ownership.wholeAnnouncedAt >= ANNOUNCE_WHOLE_MS;
    ownership.wholeAnnouncedAt = isWhole ? now : ownership.wholeAnnouncedAt;
    ownership.sequence += 1;
    const all = [...ownership.pool.view.engines.values()].map((engine) => {
      const names = [...engine.resident.values()]
        .filter((slot) => slot.state === 'resident' && engine.usable)
        .map((slot) => slot.name);
      metrics.residents.set({ engine: engine.id }, names.length);
      return { engine: engine.id, names, running: engine.running };
    });
    const engines = all.filter(
      ({ engine, names }) => isWhole || ownership.announced.get(engine) !== names.join(),
    );
    all.forEach(({ engine, names }) => ownership.announced.set(engine, names.join()));
    const message: Message = {
      kind: 'residency',
      pool: ownership.name,
      fence: ownership.fence,
      sequence: ownership.sequence,
      isWhole,
      engines,
    };
    residency.announce(options.address, message);
    members.getMembers().forEach(({ address }) => host.send(address, message));
  }

  function announceWholeWhenDue(now: number, ownership: Ownership): void {
    if (now - ownership.wholeAnnouncedAt >= ANNOUNCE_WHOLE_MS) {
      announce(ownership);
    }
  }

  return { announce, announceSoon, announceWholeWhenDue };
}
