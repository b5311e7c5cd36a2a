import { expect } from 'chai';
import fc from 'fast-check';
import createGrowingBuffer from '../../src/clientLimits/createGrowingBuffer';
import createMemoryWatch from '../../src/clientLimits/createMemoryWatch';
import createReadTurns from '../../src/clientLimits/createReadTurns';
import getClientLimits from '../../src/clientLimits/getClientLimits';

const MB = 1024 * 1024;

describe('limits on clients', () => {
  it('leave room for several hundred connections on the smallest VM, and below its descriptors', () => {
    const limits = getClientLimits({ ramMb: 210, maxFds: 2212 });
    expect(limits.callerConnections).to.be.at.least(600);
    const { heldBytes, operatorConnections, ...connections } = limits;
    const sum = Object.values(connections).reduce((total, count) => total + count, 0);
    expect(sum + 3 * operatorConnections).to.be.below(2212 - 200);
    expect(heldBytes).to.be.at.least(5 * 4_194_304);
  });

  it('keep a body as it was sent, whatever its chunks', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 40_000 }), { maxLength: 9 }), (chunks) => {
        const sent = Buffer.concat(chunks);
        const buffer = createGrowingBuffer({ maxBytes: sent.length });
        chunks.forEach((chunk) => buffer.append(Buffer.from(chunk)));
        expect(buffer.getContent().equals(sent)).to.equal(true);
        expect(buffer.getCapacity()).to.be.at.most(sent.length);
      }),
    );
  });

  it('read bodies of small chunks one after the other, so that time is left for others', () => {
    let now = 0;
    const timers: { at: number; callback: () => void }[] = [];
    const setTimer = (delayMs: number, callback: () => void) => {
      timers.push({ at: now + delayMs, callback });
      return () => {};
    };
    const turns = createReadTurns({ now: () => now, setTimer });
    const startedAt: number[] = [];
    [1, 2, 3].forEach(() => turns.wait(() => startedAt.push(now)));
    while (timers.length > 0) {
      const { at, callback } = timers.shift()!;
      now = at;
      callback();
    }
    expect(startedAt).to.deep.equal([0, 25, 50]);
  });

  it('collect only near the memory of the machine, and not all the time', () => {
    let residentBytes = 100 * MB;
    let count = 0;
    const watch = createMemoryWatch(
      {
        now: () => 0,
        setTimer: () => () => {},
        getResidentBytes: () => residentBytes,
        getBufferBytes: () => 60 * MB,
        getHeldBytes: () => 20 * MB,
        collect: () => {
          count += 1;
        },
      },
      { ramMb: 200 },
    );
    watch.check(0);
    expect(count).to.equal(0);
    residentBytes = 150 * MB;
    watch.check(0);
    watch.check(100);
    expect(count).to.equal(1);
  });
});
