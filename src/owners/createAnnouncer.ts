import type Member from '../members/Member';
import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Metrics from '../metrics/Metrics';
import type Clock from '../shared/Clock';
import type Ownership from './Ownership';
import type Residency from './Residency';

const ANNOUNCE_PAUSE_MS = 1000;
const TELL_ALL_AGAIN_MS = 10_000;

type Announcement = Extract<Message, { kind: 'residency' }>;

interface AnnouncerHost extends Clock {
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

  /** Tells every VM what has changed; one that has not been told all of late is told all. */
  function announce(ownership: Ownership): void {
    ownership.isAnnouncing = false;
    if (ownership.isEnded) {
      return;
    }
    ownership.sequence += 1;
    const all = getResidency(ownership);
    const changed = all.filter(
      ({ engine, names }) => ownership.announced.get(engine) !== names.join(),
    );
    all.forEach(({ engine, names }) => ownership.announced.set(engine, names.join()));
    residency.applyAnnouncement(options.address, getMessage(ownership, all, true));
    const now = host.now();
    members.getMembers().forEach((member) => {
      if (isDue(now, ownership, member)) {
        tellAll(now, ownership, member);
      } else {
        host.send(member.address, getMessage(ownership, changed, false));
      }
    });
  }

  /** Tells all to those that are new, were replaced, or were not told all for long. */
  function tellWhereDue(now: number, ownership: Ownership): void {
    const due = members.getMembers().filter((member) => isDue(now, ownership, member));
    if (due.length > 0) {
      ownership.sequence += 1;
      due.forEach((member) => tellAll(now, ownership, member));
    }
  }

  function isDue(now: number, ownership: Ownership, member: Member): boolean {
    const told = ownership.told.get(member.address);
    const isNew = told?.incarnation !== member.incarnation;
    return (
      members.hasRecentHeartbeat(now, member.address) &&
      (isNew || now - told.at >= TELL_ALL_AGAIN_MS)
    );
  }

  function tellAll(now: number, ownership: Ownership, member: Member): void {
    const { address, incarnation } = member;
    if (host.send(address, getMessage(ownership, getResidency(ownership), true))) {
      ownership.told.set(address, { incarnation, at: now });
    }
  }

  function getResidency(ownership: Ownership) {
    return [...ownership.pool.view.engines.values()].map((engine) => {
      const names = [...engine.resident.values()]
        .filter((slot) => slot.state === 'resident' && engine.usable)
        .map((slot) => slot.name);
      metrics.residents.set({ engine: engine.id }, names.length);
      return { engine: engine.id, names, running: engine.running };
    });
  }

  function getMessage(
    ownership: Ownership,
    engines: ReturnType<typeof getResidency>,
    isWhole: boolean,
  ): Announcement {
    const { name: pool, fence, sequence } = ownership;
    return { kind: 'residency', pool, fence, sequence, isWhole, engines };
  }

  return { announce, announceSoon, tellWhereDue };
}
