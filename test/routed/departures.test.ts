import { expect } from 'chai';
import type Message from '../../src/mesh/Message';
import createDepartures from '../../src/readiness/createDepartures';
import type Upstream from '../../src/upstream/Upstream';

const UPSTREAM: Upstream = {
  id: 'u',
  startedAt: 5,
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'x',
  state: 'ready',
  slots: 8,
  softwareVersion: undefined,
  models: [],
};
const NEXT = { ...UPSTREAM, startedAt: 6 };
const LEAVING = { isLeaving: true };

describe('departures of upstreams', () => {
  it('outlast records of older states and the removal of a registration', () => {
    const { departures, registered } = create();
    departures.observeRegistration(0, { ...UPSTREAM, state: 'leaving' });
    departures.observeRegistration(1, UPSTREAM);
    expect(departures.isLeaving(UPSTREAM)).to.equal(true);
    registered.delete('u');
    departures.publish(30_000);
    registered.set('u', UPSTREAM);
    departures.observeRegistration(30_001, UPSTREAM);
    expect(departures.isLeaving(UPSTREAM)).to.equal(true);
  });

  it('bind one incarnation, whatever late responses of a former one say', () => {
    const { departures } = create();
    departures.observe(0, UPSTREAM, LEAVING);
    expect(departures.isLeaving(NEXT)).to.equal(false);
    departures.observe(1, NEXT, LEAVING);
    departures.observe(2, UPSTREAM, LEAVING);
    expect(departures.isLeaving(NEXT)).to.equal(true);
    expect(departures.isLeaving({ ...UPSTREAM, id: 'v' })).to.equal(false);
  });

  it('are announced once by the VM that was told, and repeated until a registration names them', () => {
    const { departures, sent, departed } = create();
    departures.observe(0, UPSTREAM, { isLeaving: false });
    departures.observe(0, UPSTREAM, LEAVING);
    departures.observe(1, UPSTREAM, LEAVING);
    expect(sent).to.have.length(1);
    departures.publish(1000);
    expect(sent).to.have.length(2);
    departures.observeRegistration(1500, { ...UPSTREAM, state: 'leaving' });
    departures.publish(2000);
    expect(sent).to.have.length(2);
    expect(departed).to.deep.equal(['u']);
  });

  it('that another VM announces are kept and not announced again', () => {
    const { departures, sent } = create();
    departures.receive(0, 'vm', [{ id: 'u', startedAt: 5 }]);
    departures.observe(1, UPSTREAM, LEAVING);
    departures.publish(1000);
    expect(departures.isLeaving(UPSTREAM)).to.equal(true);
    expect(sent).to.deep.equal([]);
  });

  it('are forgotten some time after their upstream has gone', () => {
    const { departures, registered } = create();
    departures.observe(0, UPSTREAM, LEAVING);
    departures.publish(50_000);
    registered.delete('u');
    departures.publish(120_000);
    expect(departures.isLeaving(UPSTREAM)).to.equal(false);
  });
});

function create() {
  const sent: Message[] = [];
  const departed: string[] = [];
  const registered = new Map<string, Upstream>([['u', UPSTREAM]]);
  const departures = createDepartures({
    tryGetUpstream: (id) => registered.get(id),
    broadcast: (message) => sent.push(message),
    onDeparture: (_, id) => departed.push(id),
    countDeparture: () => {},
    log: () => {},
  });
  return { departures, sent, departed, registered };
}
