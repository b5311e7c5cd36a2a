import { expect } from 'chai';
import createTestFleet from './createTestFleet';

const BAD = '/look/bad';
const CONTACT_MS = 3000;
const KNOWN_CRASHES = 3;
const MAX_LATE_ARRIVALS = 3;
const PLAY_MS = 18_000;
const RETURN_INTERVAL_MS = 300;
/** A refusal for longer than this is no matter of load. */
const BLOCKED_MS = 60_000;

type Fleet = ReturnType<typeof createTestFleet>;

describe('a request that crashes each server that runs it', () => {
  [8, 61].forEach((vms) => {
    it(`reaches few servers after the third crash, and sound requests are served (${vms} VMs)`, async () => {
      const fleet = await startFleet(vms);
      const sound = fleet.sendCalls(
        40,
        PLAY_MS,
        (index) => `/${index % 2 ? 'look' : 'call'}/${index}`,
      );
      await repeat(fleet, PLAY_MS);
      expectContained(fleet);
      const later = sound.filter(({ sentAt }) => sentAt > getKnownAt(fleet) + CONTACT_MS);
      expect(getServedShare(later)).to.be.above(0.95);
    });
  });

  it('reaches few servers though VMs restart and one is cut off from the others', async () => {
    const fleet = await startFleet(8);
    const [cut, killed, restarted, ...others] = fleet.addresses;
    const setCut = (isLost: boolean) =>
      fleet.addresses.forEach((address) => {
        fleet.setLost(cut, address, isLost);
        fleet.setLost(address, cut, isLost);
      });
    fleet.clock.setTimer(200, () => setCut(true));
    fleet.clock.setTimer(1000, () => fleet.restartVm(killed, 1500));
    fleet.clock.setTimer(6000, () => fleet.restartVm(restarted, 500));
    fleet.clock.setTimer(9000, () => setCut(false));
    others.forEach((address, index) =>
      fleet.clock.setTimer(11_000 + index * 300, () => fleet.restartVm(address, 300)),
    );
    await repeat(fleet, PLAY_MS);
    expectContained(fleet);
  });

  it('is refused while the key-value service is away, as not run', async () => {
    const fleet = await startFleet(8);
    fleet.addresses.forEach((address) => fleet.setFault(address, 'refused'));
    const results = await repeat(fleet, PLAY_MS);
    expectContained(fleet);
    const { status, retryAfterMs } = results.at(-1)!;
    expect({ status, isLong: retryAfterMs > BLOCKED_MS }).to.deep.equal({
      status: 503,
      isLong: true,
    });
  });

  it('that comes with another body, caller or query is another request', async () => {
    const fleet = await startFleet(8);
    await repeat(fleet, PLAY_MS / 2);
    const other = await send(fleet, `${BAD}?page=2`);
    expect(other.status).to.equal(200);
  });
});

describe('requests lost in ordinary crashes', () => {
  it('are not blocked, though one that is repeated often is under way in each crash', async () => {
    const fleet = await startFleet(8);
    const results = fleet.sendCalls(60, PLAY_MS, () => '/look/popular');
    for (let crash = 0; crash < 12; crash += 1) {
      await fleet.clock.advance(PLAY_MS / 13);
      fleet.desks.crash(fleet.desks.getIds()[crash % 3]);
    }
    await fleet.clock.advance(PLAY_MS / 13 + CONTACT_MS);
    expect(results.filter(isBlocked)).to.deep.equal([]);
  });

  it('are not blocked when all servers of a rack end together, three times', async () => {
    const fleet = await startFleet(8);
    const results = fleet.sendCalls(60, PLAY_MS, (index) => `/look/${index % 2}`);
    for (let round = 0; round < 3; round += 1) {
      await fleet.clock.advance(PLAY_MS / 4);
      fleet.desks.getIds().forEach((id) => fleet.desks.crash(id));
    }
    await fleet.clock.advance(PLAY_MS / 4 + CONTACT_MS);
    expect(results.filter(isBlocked)).to.deep.equal([]);
  });
});

async function startFleet(vms: number): Promise<Fleet> {
  const fleet = createTestFleet({ vms, desks: 3, isCrashing: (path) => path === BAD });
  await fleet.start();
  return fleet;
}

/** Sends the crashing request at each VM in turn; returns the results. */
async function repeat(fleet: Fleet, durationMs: number) {
  const results: Awaited<ReturnType<Fleet['sendCall']>>[] = [];
  for (let index = 0; index * RETURN_INTERVAL_MS < durationMs; index += 1) {
    fleet
      .sendCall(fleet.addresses[index % fleet.addresses.length], BAD)
      .then((result) => results.push(result));
    await fleet.clock.advance(RETURN_INTERVAL_MS);
  }
  return results;
}

async function send(fleet: Fleet, path: string) {
  const result = fleet.sendCall(fleet.addresses[0], path);
  await fleet.clock.advance(1000);
  return result;
}

/** Returns when the request had crashed so many servers that all VMs have to learn of it. */
function getKnownAt(fleet: Fleet): number {
  return fleet.desks.crashes.filter(({ path }) => path === BAD)[KNOWN_CRASHES - 1].at;
}

function expectContained(fleet: Fleet): void {
  const knownAt = getKnownAt(fleet);
  const late = fleet.desks.arrivals.filter(
    ({ path, at }) => path === BAD && at > knownAt + CONTACT_MS,
  );
  expect(late).to.have.length.at.most(MAX_LATE_ARRIVALS);
}

function getServedShare(results: readonly { status: number }[]): number {
  return results.filter(({ status }) => status === 200).length / results.length;
}

function isBlocked({ retryAfterMs }: { retryAfterMs: number }): boolean {
  return retryAfterMs > BLOCKED_MS;
}
