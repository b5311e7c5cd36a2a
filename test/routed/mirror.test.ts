import { expect } from 'chai';
import type Change from '../../src/keyValue/Change';
import type ChangeFeed from '../../src/keyValue/ChangeFeed';
import createMirror from '../../src/mirror/createMirror';
import type ChangeBatch from '../../src/mirror/ChangeBatch';
import createVirtualClock from '../scenario/createVirtualClock';

describe('createMirror', () => {
  it('applies the changes that it reads from the key-value service', async () => {
    const fixture = createTestMirror({ isReader: true });
    fixture.write('a', '1');
    await fixture.clock.advance(2000);
    fixture.write('a', '2');
    fixture.remove('b');
    await fixture.clock.advance(2000);
    expect(fixture.mirror.tryGet('a')?.value).to.equal('2');
  });

  it('reads the service itself if no batch arrives', async () => {
    const fixture = createTestMirror({ isReader: false });
    await fixture.clock.advance(500);
    fixture.write('a', '1');
    await fixture.clock.advance(1600);
    expect(fixture.mirror.tryGet('a')?.value).to.equal('1');
  });

  it('makes no call while batches arrive', async () => {
    const fixture = createTestMirror({ isReader: false });
    await fixture.clock.advance(300);
    const callsBefore = fixture.getCallCount();
    for (let index = 0; index < 20; index += 1) {
      const revision = fixture.mirror.getRevision();
      fixture.mirror.applyBatch({ fromRevision: revision, revision, ageMs: 0, changes: [] });

      await fixture.clock.advance(250);
    }
    expect(fixture.getCallCount()).to.equal(callsBefore);
  });

  it('lists the service again after a compaction, and finds keys removed meanwhile', async () => {
    const fixture = createTestMirror({ isReader: true });
    fixture.write('a', '1');
    fixture.write('b', '1');
    await fixture.clock.advance(1500);
    fixture.compactHistory(() => {
      fixture.remove('a');
      fixture.write('b', '2');
    });
    await fixture.clock.advance(2500);
    expect(fixture.mirror.tryGet('a')).to.equal(undefined);
    expect(fixture.mirror.tryGet('b')?.value).to.equal('2');
  });

  it('ignores an older batch, and reads the service after a gap between batches', async () => {
    const fixture = createTestMirror({ isReader: false });
    fixture.write('a', '1');
    await fixture.clock.advance(300);
    const oldSnapshot = fixture.mirror.getSnapshot()!;
    fixture.write('a', '2');
    fixture.write('b', '1');
    const revision = fixture.mirror.getRevision();
    fixture.mirror.applyBatch({
      fromRevision: revision + 1,
      revision: revision + 2,
      ageMs: 0,
      changes: [{ key: 'b', revision: revision + 2, value: '1' }],
    });
    await fixture.clock.advance(300);
    fixture.mirror.applyBatch(oldSnapshot);
    expect(fixture.mirror.tryGet('a')?.value).to.equal('2');
    expect(fixture.mirror.tryGet('b')?.value).to.equal('1');
  });

  it('requests the changes that a VM lacks, and keeps changes that an earlier read missed', async () => {
    const fixture = createTestMirror({ isReader: false });
    await fixture.clock.advance(9500);
    fixture.options.isDown = true;
    const revision = fixture.mirror.getRevision();
    fixture.mirror.compareRevision(fixture.clock.now(), revision + 3);
    await fixture.clock.advance(450);
    fixture.mirror.compareRevision(fixture.clock.now(), revision);
    expect(fixture.requestedRevisions).to.have.length(1);
    const [fromRevision] = fixture.requestedRevisions;
    fixture.mirror.applyBatch({
      fromRevision,
      revision: revision + 3,
      ageMs: 10,
      changes: [{ key: 'missed', revision: revision - 1, value: '1' }],
    });
    expect(fixture.mirror.tryGet('missed')?.value).to.equal('1');
    expect(fixture.mirror.getRevision()).to.equal(revision + 3);
  });

  it('does not pass changes on from before its first listing, as it knows no removals of then', async () => {
    const fixture = createTestMirror({ isReader: false });
    fixture.write('a', '1');
    await fixture.clock.advance(500);
    const listedRevision = fixture.mirror.getRevision();
    fixture.write('b', '1');
    fixture.remove('a');
    await fixture.clock.advance(2000);
    expect(fixture.mirror.tryGetChanges(listedRevision - 1)).to.equal(undefined);
    const keys = fixture.mirror.tryGetChanges(listedRevision)!.changes.map(({ key }) => key);
    expect(keys).to.deep.equal(['b', 'a']);
  });

  it('requests a snapshot if the service is down at the start, and keeps its entries', async () => {
    const fixture = createTestMirror({ isReader: true, isDown: true });
    await fixture.clock.advance(500);
    expect(fixture.getSnapshotRequestCount()).to.be.greaterThan(0);
    fixture.mirror.applyBatch({
      fromRevision: 0,
      revision: 5,
      ageMs: 100,
      changes: [{ key: 'a', revision: 5, value: 'old' }],
    });
    await fixture.clock.advance(3000);
    expect(fixture.mirror.tryGet('a')?.value).to.equal('old');
  });

  it('broadcasts batches that bring another mirror to the same state', async () => {
    const batches: ChangeBatch[] = [];
    const reader = createTestMirror({ isReader: true, broadcast: (batch) => batches.push(batch) });
    const other = createTestMirror({ isReader: false, isDown: true });
    reader.write('a', '1');
    await reader.clock.advance(1500);
    reader.write('a', '2');
    reader.write('c', '1');
    reader.remove('c');
    await reader.clock.advance(1500);
    batches.forEach((batch) => other.mirror.applyBatch(batch));
    expect(other.mirror.getRevision()).to.equal(reader.mirror.getRevision());
    expect(other.mirror.tryGet('a')?.value).to.equal('2');
    expect(other.mirror.tryGet('c')).to.equal(undefined);
  });
});

function createTestMirror(options: {
  isReader: boolean;
  isDown?: boolean;
  broadcast?: (batch: ChangeBatch) => void;
}) {
  const clock = createVirtualClock();
  const history: Change[] = [{ key: 'z', revision: 1, value: 'first' }];
  let oldestRevision = 0;
  let callCount = 0;
  let snapshotRequestCount = 0;
  const requestedRevisions: number[] = [];

  const getRevision = () => history.at(-1)!.revision;
  const addChange = (key: string, value: string | undefined) =>
    history.push({ key, revision: getRevision() + 1, value });
  const failure = { ok: false as const, error: { kind: 'notDone' as const, reason: 'down' } };
  const feed: ChangeFeed = {
    list: async () => {
      callCount += 1;
      const latest = new Map(history.map((change) => [change.key, change]));
      const changes = [...latest.values()].filter((change) => change.value !== undefined);
      const value = { revision: getRevision(), changes, more: false };
      return options.isDown ? failure : { ok: true, value };
    },
    follow: async ({ afterRevision, waitMs }) => {
      callCount += 1;
      const hasNewChange = () => history.some((change) => change.revision > afterRevision);
      if (!hasNewChange()) {
        await new Promise<void>((resolve) => {
          clock.setTimer(waitMs, resolve);
        });
      }
      if (options.isDown) {
        return failure;
      }
      if (afterRevision < oldestRevision) {
        return { ok: false, error: { kind: 'compacted' } };
      }
      const changes = history.filter((change) => change.revision > afterRevision);
      return { ok: true, value: { revision: getRevision(), changes } };
    },
  };
  const mirror = createMirror({
    ...clock,
    feed,
    isReader: () => options.isReader,
    broadcast: options.broadcast ?? (() => {}),
    requestSnapshot: () => {
      snapshotRequestCount += 1;
    },
    requestChanges: (_, afterRevision) => {
      requestedRevisions.push(afterRevision);
      return false;
    },
    isOutdated: () => false,
    onChange: () => {},
    log: () => {},
  });
  mirror.start();
  return {
    clock,
    mirror,
    options,
    requestedRevisions,
    write: (key: string, value: string) => addChange(key, value),
    remove: (key: string) => addChange(key, undefined),
    compactHistory: (change: () => void) => {
      change();
      oldestRevision = getRevision();
      addChange('y', 'after');
    },
    getCallCount: () => callCount,
    getSnapshotRequestCount: () => snapshotRequestCount,
  };
}
