import { expect } from 'chai';
import createCalls from '../../src/calls/createCalls';
import createKeyValueState from '../../standins/createKeyValueState';
import createVirtualClock from '../scenario/createVirtualClock';
import createFakeKeyValueService from '../scenario/createFakeKeyValueService';

const RETENTION_SECONDS = 3600;

describe('calls', () => {
  it('are kept for the retention time and then swept, also when they exceed one page', async () => {
    const clock = createVirtualClock();
    const keyValueService = createFakeKeyValueService(clock);
    const executor = { run: (callback: () => void) => callback(), isDead: () => false };
    let nonceCount = 0;
    const calls = createCalls(
      {
        ...clock,
        keyValue: keyValueService.createKeyValue('vm1', executor),
        send: () => false,
        createNonce: () => {
          nonceCount += 1;
          return String(nonceCount);
        },
        getTimeOfDay: clock.now,
        isSweeper: () => true,
        log: () => {},
      },
      { address: 'vm1', retentionSeconds: RETENTION_SECONDS },
    );
    let sendCount = 0;
    const runCall = (key: string) =>
      calls.run({
        team: 't',
        key,
        fingerprint: 'f',
        send: async () => {
          sendCount += 1;
          return { ok: true, value: { status: 200, contentType: 'text/plain', body: key } };
        },
      });
    const firstCalls = Promise.all(Array.from({ length: 700 }, (_, index) => runCall(`k${index}`)));
    await clock.advance(2000);
    await firstCalls;
    const sweepAndCountRecords = async () => {
      const sweep = calls.sweep();
      await clock.advance(1000);
      await sweep;
      return keyValueService.getEntries('/baobablink/calls/').length;
    };
    expect(await sweepAndCountRecords()).to.equal(700);
    await clock.advance((RETENTION_SECONDS - 60) * 1000);
    const lateCall = runCall('late');
    await clock.advance(1000);
    await lateCall;
    expect(await sweepAndCountRecords()).to.equal(701);
    await clock.advance(120_000);
    expect(await sweepAndCountRecords(), 'only the late call is kept').to.equal(1);
    expect(sendCount).to.equal(701);
  });
});

describe('key-value stand-in', () => {
  it('returns the value of a key at a given revision', () => {
    const keyValueState = createKeyValueState();
    const put = (value: string) =>
      keyValueState.transactAll([
        { compare: [], writes: [{ kind: 'put', key: 'a', value }], readOnFailure: [] },
      ]).revision;
    const firstRevision = put('1');
    put('2');
    expect(keyValueState.range({ key: 'a', atRevision: firstRevision }).entries[0].value).to.equal(
      '1',
    );
    expect(keyValueState.range({ key: 'a' }).entries[0].value).to.equal('2');
  });
});
