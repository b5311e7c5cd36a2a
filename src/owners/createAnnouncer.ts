import type Member from '../members/Member';
import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Metrics from '../metrics/Metrics';
import type Clock from '../shared/Clock';
import type Ownership from './Ownership';
import type Residency from './Residency';

const ANNOUNCEMENT_DELAY_MS = 1000;
const FULL_ANNOUNCEMENT_INTERVAL_MS = 10_000;

type Announcement = Extract<Message, { kind: 'residency' }>;

interface AnnouncerHost extends Clock {
  send(to: string, message: Message): boolean;
}

/**
 * Sends the adapters that each engine of an owned pool holds to all entry VMs: changes at most once
 * a second, and all engines to each VM every 10 s.
 */
export default function createAnnouncer(
  host: AnnouncerHost,
  parts: { members: Members; residency: Residency; metrics: Metrics },
  options: { address: string },
) {
  const { members, residency, metrics } = parts;

  function scheduleAnnouncement(ownership: Ownership): void {
    if (!ownership.isAnnouncementScheduled) {
      ownership.isAnnouncementScheduled = true;
      host.setTimer(ANNOUNCEMENT_DELAY_MS, () => announce(ownership));
    }
  }

  /** Sends each VM the engines that have changed, or all engines if those are due. */
  function announce(ownership: Ownership): void {
    ownership.isAnnouncementScheduled = false;
    if (ownership.isEnded) {
      return;
    }
    ownership.sequence += 1;
    const all = collectResidency(ownership);
    const changed = all.filter(
      ({ engine, names }) => ownership.lastAnnouncedNames.get(engine) !== names.join(),
    );
    all.forEach(({ engine, names }) => ownership.lastAnnouncedNames.set(engine, names.join()));
    residency.applyAnnouncement(options.address, createAnnouncement(ownership, all, true));
    const now = host.now();
    members.getMembers().forEach((member) => {
      if (isFullAnnouncementDue(now, ownership, member)) {
        sendFullAnnouncement(now, ownership, member);
      } else {
        host.send(member.address, createAnnouncement(ownership, changed, false));
      }
    });
  }

  /** Sends all engines to each VM that is new, was replaced, or got them 10 s ago or earlier. */
  function sendDueFullAnnouncements(now: number, ownership: Ownership): void {
    const due = members
      .getMembers()
      .filter((member) => isFullAnnouncementDue(now, ownership, member));
    if (due.length > 0) {
      ownership.sequence += 1;
      due.forEach((member) => sendFullAnnouncement(now, ownership, member));
    }
  }

  function isFullAnnouncementDue(now: number, ownership: Ownership, member: Member): boolean {
    const lastFull = ownership.lastFullAnnouncements.get(member.address);
    const isNew = lastFull?.incarnation !== member.incarnation;
    return (
      members.hasRecentHeartbeat(now, member.address) &&
      (isNew || now - lastFull.at >= FULL_ANNOUNCEMENT_INTERVAL_MS)
    );
  }

  function sendFullAnnouncement(now: number, ownership: Ownership, member: Member): void {
    const { address, incarnation } = member;
    if (host.send(address, createAnnouncement(ownership, collectResidency(ownership), true))) {
      ownership.lastFullAnnouncements.set(address, { incarnation, at: now });
    }
  }

  function collectResidency(ownership: Ownership) {
    return [...ownership.pool.view.engines.values()].map((engine) => {
      const names = [...engine.resident.values()]
        .filter((slot) => slot.state === 'resident' && engine.usable)
        .map((slot) => slot.name);
      metrics.residents.set({ engine: engine.id }, names.length);
      return { engine: engine.id, names, running: engine.running };
    });
  }

  function createAnnouncement(
    ownership: Ownership,
    engines: ReturnType<typeof collectResidency>,
    isWhole: boolean,
  ): Announcement {
    const { name: pool, fence, sequence } = ownership;
    return { kind: 'residency', pool, fence, sequence, isWhole, engines };
  }

  return { announce, scheduleAnnouncement, sendDueFullAnnouncements };
}
