import { expect } from 'chai';
import createTestFleet from './createTestFleet';

const CONTACT_MS = 3000;
const DESKS = 4;
const SLOTS = 4;
const SERVICE_MS = 50;
/** Upstreams that may fall over in the time in which they state that they are brittle. */
const MAX_FALLS = 2 + DESKS / 10;
const MAX_TURNED_AWAY = 5;
const PLAY_MS = 10_000;
/** Part of what the upstreams could serve that they serve at least. */
const MIN_USED = 0.5;

describe('upstreams that end if they have to turn many requests away', () => {
  [8, 61].forEach((vms) => {
    [0.6, 2].forEach((load) => {
      it(`stay up while ${load} times their capacity is sent by ${vms} VMs`, async () => {
        const fleet = createTestFleet({ vms, desks: DESKS });
        fleet.desks.setBrittle(undefined, SLOTS);
        await fleet.start();
        const capacity = (DESKS * SLOTS * 1000) / SERVICE_MS;
        fleet.sendCalls(capacity * 0.4, CONTACT_MS, (index) => `/look/${index}`);
        fleet.desks.setBrittle({ waiting: 6, maxTurnedAway: MAX_TURNED_AWAY });
        await fleet.clock.advance(CONTACT_MS);
        fleet.desks.setBrittle({ waiting: 1, maxTurnedAway: MAX_TURNED_AWAY });
        const since = fleet.clock.now();
        const results = fleet.sendCalls(capacity * load, PLAY_MS, (index) => `/look/${index}`);
        await fleet.clock.advance(PLAY_MS + 5000);
        const falls = fleet.desks.falls.filter(({ at }) => at >= since);
        const served = results.filter(({ status }) => status === 200).length;
        expect(falls.length, `falls, ${served} of ${results.length} served`).to.be.at.most(
          MAX_FALLS,
        );
        const possible = (Math.min(1, load) * capacity * PLAY_MS) / 1000;
        expect(served).to.be.at.least(MIN_USED * possible);
      });
    });
  });
});
