import { expect } from 'chai';
import createCalls from '../../src/calls/createCalls';
import createKeyValueState from '../../standins/createKeyValueState';
import createVirtualClock from '../scenario/createVirtualClock';
import createFakeKeyValueService from '../scenario/createFakeKeyValueService';

const KEPT_SECONDS = 3600;

describe('calls', () => {
  it('are kept for their time and then swept, however many', async () => {
    const time = createVirtualClock();
    const platform = createFakeKeyValueService(time);
    const gate = { run: (callback: () => void) => callback(), isDead: () => false };
    let nonces = 0;
    const calls = createCalls(
      {
        ...time,
        keyValue: platform.createKeyValue('vm1', gate),
        send: () => false,
        createNonce: () => {
          nonces += 1;
          return String(nonces);
        },
        getTimeOfDay: time.now,
        isSweeper: () => true,
        log: () => {},
      },
      { address: 'vm1', retentionSeconds: KEPT_SECONDS },
    );
    let ran = 0;
    const book = (key: string) =>
      calls.run({
        team: 't',
        key,
        fingerprint: 'f',
        send: async () => {
          ran += 1;
          return { ok: true, value: { status: 200, contentType: 'text/plain', body: key } };
        },
      });
    const all = Promise.all(Array.from({ length: 700 }, (_, index) => book(`k${index}`)));
    await time.advance(2000);
    await all;
    const swept = async () => {
      const sweep = calls.sweep();
      await time.advance(1000);
      await sweep;
      return platform.getEntries('/baobablink/calls/').length;
    };
    expect(await swept()).to.equal(700);
    await time.advance((KEPT_SECONDS - 60) * 1000);
    const late = book('late');
    await time.advance(1000);
    await late;
    expect(await swept()).to.equal(701);
    await time.advance(120_000);
    expect(await swept(), 'only the late one is kept').to.equal(1);
    expect(ran).to.equal(701);
  });
});

describe('key-value stand-in', () => {
  it('reads a key as it was at a revision', () => {
    const state = createKeyValueState();
    const put = (value: string) =>
      state.transactAll([
        { compare: [], writes: [{ kind: 'put', key: 'a', value }], readOnFailure: [] },
      ]).revision;
    const first = put('1');
    put('2');
    expect(state.range({ key: 'a', atRevision: first }).entries[0].value).to.equal('1');
    expect(state.range({ key: 'a' }).entries[0].value).to.equal('2');
  });
});
