import { expect } from 'chai';
import fc from 'fast-check';
import createHeldBytes from '../../src/clientLimits/createHeldBytes';

const LIMIT_BYTES = 10_000_000;
const BODY_BYTES = 4_000_000;

function createHolder(maxBytes: number) {
  const holder = {
    maxBytes,
    progress: 0,
    isPaused: false,
    closed: undefined as string | undefined,
    getProgress: () => holder.progress,
    pause: () => {
      holder.isPaused = true;
    },
    resume: () => {
      holder.isPaused = false;
    },
    close: (reason: string) => {
      holder.closed = reason;
    },
  };
  return holder;
}

describe('createHeldBytes', () => {
  function addBody(held: ReturnType<typeof createHeldBytes>, now: number, bytes: number) {
    const holder = createHolder(BODY_BYTES);
    const entry = held.add(now, 'reading', holder);
    holder.progress = bytes;
    entry.setBytes(now, bytes);
    return { holder, entry };
  }

  it('reads every body while little is held, so that no ordinary request is delayed', () => {
    const held = createHeldBytes({ limitBytes: LIMIT_BYTES });
    const bodies = Array.from({ length: 100 }, () => addBody(held, 0, 40_000));
    held.decide(60_000);
    expect(bodies.filter(({ holder }) => holder.isPaused || holder.closed)).to.deep.equal([]);
  });

  it('lets the oldest body be completed when many large ones come at once', () => {
    const held = createHeldBytes({ limitBytes: LIMIT_BYTES });
    const bodies = Array.from({ length: 6 }, () => addBody(held, 0, 1_000_000));
    expect(bodies.map(({ holder }) => holder.isPaused)).to.deep.equal([
      false,
      true,
      true,
      true,
      true,
      true,
    ]);
    bodies[0].entry.release(1);
    held.decide(1);
    expect(bodies[1].holder.isPaused).to.equal(false);
  });

  it('closes a stuck body, and none that progresses', () => {
    const held = createHeldBytes({ limitBytes: LIMIT_BYTES });
    const stuck = addBody(held, 0, 3_900_000);
    const live = addBody(held, 0, 2_000_000);
    held.decide(0);
    live.holder.progress += 1;
    held.decide(1500);
    expect([stuck.holder.closed, live.holder.closed]).to.deep.equal(['stuck', undefined]);
    expect(held.getHeldBytes()).to.equal(2_000_000);
  });

  it('reads small bodies while large ones are paused', () => {
    const held = createHeldBytes({ limitBytes: LIMIT_BYTES });
    Array.from({ length: 6 }, () => addBody(held, 0, 1_000_000));
    expect(addBody(held, 0, 10_000).holder.isPaused).to.equal(false);
  });

  it('holds no more than the limit, whatever clients do', () => {
    const step = fc.record({
      index: fc.nat(9),
      bytes: fc.nat(BODY_BYTES),
      kind: fc.constantFrom('reading' as const, 'unread' as const),
      stepMs: fc.nat(800),
    });
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        const held = createHeldBytes({ limitBytes: LIMIT_BYTES });
        const entries = new Map<number, ReturnType<typeof held.add>>();
        let now = 0;
        steps.forEach(({ index, bytes, kind, stepMs }) => {
          now += stepMs;
          const holder = createHolder(BODY_BYTES);
          const entry = entries.get(index) ?? held.add(now, kind, holder);
          entries.set(index, entry);
          entry.setBytes(now, bytes);
          expect(held.getHeldBytes()).to.be.at.most(LIMIT_BYTES);
        });
        entries.forEach((entry) => entry.release(now));
        expect(held.getHeldBytes()).to.equal(0);
      }),
    );
  });
});
