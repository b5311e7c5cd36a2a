import { expect } from 'chai';
import type Change from '../../src/keyValue/Change';
import type ChangeFeed from '../../src/keyValue/ChangeFeed';
import createMirror from '../../src/mirror/createMirror';
import type ChangeBatch from '../../src/mirror/ChangeBatch';
import createVirtualClock from '../scenario/createVirtualClock';

describe('the copy of the key-value service', () => {
  it('follows what the service says', async () => {
    const trial = createTrial({ isReader: true });
    trial.write('a', '1');
    await trial.time.advance(2000);
    trial.write('a', '2');
    trial.remove('b');
    await trial.time.advance(2000);
    expect(trial.mirror.tryGet('a')?.value).to.equal('2');
  });

  it('reads by itself when no news comes', async () => {
    const trial = createTrial({ isReader: false });
    await trial.time.advance(500);
    trial.write('a', '1');
    await trial.time.advance(1600);
    expect(trial.mirror.tryGet('a')?.value).to.equal('1');
  });

  it('makes no call while news comes', async () => {
    const trial = createTrial({ isReader: false });
    await trial.time.advance(300);
    const before = trial.calls();
    for (let index = 0; index < 20; index += 1) {
      const revision = trial.mirror.getRevision();
      trial.mirror.applyBatch({ fromRevision: revision, revision, ageMs: 0, changes: [] });

      await trial.time.advance(250);
    }
    expect(trial.calls()).to.equal(before);
  });

  it('lists again when history was dropped, and finds what was removed meanwhile', async () => {
    const trial = createTrial({ isReader: true });
    trial.write('a', '1');
    trial.write('b', '1');
    await trial.time.advance(1500);
    trial.dropHistory(() => {
      trial.remove('a');
      trial.write('b', '2');
    });
    await trial.time.advance(2500);
    expect(trial.mirror.tryGet('a')).to.equal(undefined);
    expect(trial.mirror.tryGet('b')?.value).to.equal('2');
  });

  it('takes back nothing for old news, and asks for what lies between', async () => {
    const trial = createTrial({ isReader: false });
    trial.write('a', '1');
    await trial.time.advance(300);
    const old = trial.mirror.getSnapshot()!;
    trial.write('a', '2');
    trial.write('b', '1');
    const revision = trial.mirror.getRevision();
    trial.mirror.applyBatch({
      fromRevision: revision + 1,
      revision: revision + 2,
      ageMs: 0,
      changes: [{ key: 'b', revision: revision + 2, value: '1' }],
    });
    await trial.time.advance(300);
    trial.mirror.applyBatch(old);
    expect(trial.mirror.tryGet('a')?.value).to.equal('2');
    expect(trial.mirror.tryGet('b')?.value).to.equal('1');
  });

  it('keeps what it has while the service is down, and learns from peers after a start', async () => {
    const trial = createTrial({ isReader: true, isDown: true });
    await trial.time.advance(500);
    expect(trial.asked()).to.be.greaterThan(0);
    trial.mirror.applyBatch({
      fromRevision: 0,
      revision: 5,
      ageMs: 100,
      changes: [{ key: 'a', revision: 5, value: 'old' }],
    });
    await trial.time.advance(3000);
    expect(trial.mirror.tryGet('a')?.value).to.equal('old');
  });

  it('passes news on so that another copy ends up the same', async () => {
    const spread: ChangeBatch[] = [];
    const reader = createTrial({ isReader: true, spread: (news) => spread.push(news) });
    const other = createTrial({ isReader: false, isDown: true });
    reader.write('a', '1');
    await reader.time.advance(1500);
    reader.write('a', '2');
    reader.write('c', '1');
    reader.remove('c');
    await reader.time.advance(1500);
    spread.forEach((news) => other.mirror.applyBatch(news));
    expect(other.mirror.getRevision()).to.equal(reader.mirror.getRevision());
    expect(other.mirror.tryGet('a')?.value).to.equal('2');
    expect(other.mirror.tryGet('c')).to.equal(undefined);
  });
});

function createTrial(options: {
  isReader: boolean;
  isDown?: boolean;
  spread?: (news: ChangeBatch) => void;
}) {
  const time = createVirtualClock();
  const history: Change[] = [{ key: 'z', revision: 1, value: 'first' }];
  let oldest = 0;
  let calls = 0;
  let asked = 0;

  const getRevision = () => history.at(-1)!.revision;
  const add = (key: string, value: string | undefined) =>
    history.push({ key, revision: getRevision() + 1, value });
  const failure = { ok: false as const, error: { kind: 'notDone' as const, reason: 'down' } };
  const feed: ChangeFeed = {
    list: async () => {
      calls += 1;
      const latest = new Map(history.map((change) => [change.key, change]));
      const changes = [...latest.values()].filter((change) => change.value !== undefined);
      const value = { revision: getRevision(), changes, more: false };
      return options.isDown ? failure : { ok: true, value };
    },
    follow: async ({ afterRevision, waitMs }) => {
      calls += 1;
      const isDue = () => history.some((change) => change.revision > afterRevision);
      if (!isDue()) {
        await new Promise<void>((resolve) => {
          time.setTimer(waitMs, resolve);
        });
      }
      if (options.isDown) {
        return failure;
      }
      if (afterRevision < oldest) {
        return { ok: false, error: { kind: 'compacted' } };
      }
      const changes = history.filter((change) => change.revision > afterRevision);
      return { ok: true, value: { revision: getRevision(), changes } };
    },
  };
  const mirror = createMirror({
    ...time,
    feed,
    isReader: () => options.isReader,
    broadcast: options.spread ?? (() => {}),
    requestSnapshot: () => {
      asked += 1;
    },
    onChange: () => {},
    log: () => {},
  });
  mirror.start();
  return {
    time,
    mirror,
    write: (key: string, value: string) => add(key, value),
    remove: (key: string) => add(key, undefined),
    dropHistory: (change: () => void) => {
      change();
      oldest = getRevision();
      add('y', 'after');
    },
    calls: () => calls,
    asked: () => asked,
  };
}
