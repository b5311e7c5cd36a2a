import { expect } from 'chai';
import type Message from '../../src/mesh/Message';
import createReach from '../../src/reach/createReach';
import type ProbeOutcome from '../../src/upstream/ProbeOutcome';
import type Upstream from '../../src/upstream/Upstream';
import createVirtualClock from '../scenario/createVirtualClock';

/** From this time after a partition began, a VM must know of it. */
const CONTACT_MS = 3000;
const CONNECT_TIMEOUT_MS = 400;
const REFRESH_MS = 250;

describe('createReach', () => {
  it('finds a partition in the contact time although no request comes', async () => {
    const { reach, run, setOutcome } = create();
    await run(1000, true);
    setOutcome('silent');
    await run(CONTACT_MS - REFRESH_MS, false);
    expect(reach.isPartitioned()).to.equal(true);
  });

  it('tells the others, repeats it, and ends it as soon as an upstream accepts', async () => {
    const { reach, run, setOutcome, sent } = create();
    await run(500, true);
    setOutcome('refused');
    await run(4000, false);
    expect(sent.length).to.be.within(2, 5);
    setOutcome('accepted');
    await run(2 * REFRESH_MS, false);
    expect(reach.isPartitioned()).to.equal(false);
    expect(sent.at(-1)).to.deep.equal({ kind: 'reach', isPartitioned: false });
  });

  it('takes neither the silence of one upstream nor the end of a service for a partition', async () => {
    const { reach, run, setOutcome } = create();
    await run(500, true);
    setOutcome('silent', ['a1']);
    await run(3000, false, true);
    setOutcome('refused', ['a1', 'a2', 'a3', 'a4', 'a5']);
    await run(3000, false, true);
    expect(reach.isPartitioned()).to.equal(false);
  });

  it('opens few connections while a VM is used, and none while it is not', async () => {
    const { run, getProbeCount } = create();
    await run(10_000, true);
    expect(getProbeCount()).to.equal(0);
    await run(9000, false);
    expect(getProbeCount()).to.be.at.most(6);
    await run(60_000, false);
    const before = getProbeCount();
    await run(30_000, false);
    expect(getProbeCount()).to.equal(before);
  });
});

function create() {
  const clock = createVirtualClock();
  const sent: Message[] = [];
  const outcomes = new Map<string, ProbeOutcome>();
  let probeCount = 0;
  let isWaiting = false;
  const upstreams = ['a1', 'a2', 'a3', 'a4', 'a5', 'b1'].map(createUpstream);
  const reach = createReach({
    now: clock.now,
    probe: async (address) => {
      probeCount += 1;
      const outcome = outcomes.get(address) ?? 'accepted';
      await new Promise<void>((resolve) => {
        clock.setTimer(outcome === 'silent' ? CONNECT_TIMEOUT_MS : 1, resolve);
      });
      return outcome;
    },
    getUpstreams: () => upstreams,
    hasWaited: () => isWaiting,
    getLastByteAt: () => -Infinity,
    broadcast: (message) => sent.push(message),
    onPartitioned: () => {},
    random: () => 0.5,
    log: () => {},
  });

  /** Runs for a time in which upstreams send bytes, or requests wait for them, or neither. */
  async function run(forMs: number, hasBytes: boolean, hasWaiting = false): Promise<void> {
    isWaiting = hasWaiting;
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += REFRESH_MS) {
      if (hasBytes) {
        reach.recordByte(clock.now());
      }
      reach.refresh(clock.now());
      await clock.advance(REFRESH_MS);
    }
  }

  return {
    reach,
    run,
    sent,
    getProbeCount: () => probeCount,
    setOutcome: (outcome: ProbeOutcome, ids = upstreams.map(({ id }) => id)) =>
      ids.forEach((id) => outcomes.set(`${id}:80`, outcome)),
  };
}

function createUpstream(id: string): Upstream {
  return {
    id,
    startedAt: 1,
    service: id[0],
    address: `${id}:80`,
    dataCentre: 'x',
    state: 'ready',
    slots: 8,
    softwareVersion: undefined,
    models: [],
  };
}
