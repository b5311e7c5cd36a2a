import { expect } from 'chai';
import fc from 'fast-check';
import createReportCollector from '../../src/load/createReportCollector';
import createIntervalMeter from '../../src/load/createIntervalMeter';
import createUpstreamLoads from '../../src/load/createUpstreamLoads';

const PEERS = ['a', 'b', 'c'].map((id) => ({ id, startedAt: 1, service: 's' }));
const [FIRST] = PEERS;
const LOAD = { running: 4, waiting: 2, slots: 6, slowdown: undefined };

describe('loads of upstreams', () => {
  it('adds what this VM has sent since a statement, and ignores old statements', () => {
    // Guards against a VM that sends its next requests by a load without its own last ones.
    const host = createHost();
    const loads = createUpstreamLoads(host);
    host.own = 1;
    loads.observe(0, FIRST, LOAD);
    host.own = 3;
    expect(loads.getStated(100, FIRST)).to.include({ inFlight: 8, waiting: 2, ageMs: 100 });
    host.own = 0;
    expect(loads.getStated(100, FIRST)!.inFlight).to.equal(5);
    expect(loads.getStated(5000, FIRST)).to.equal(undefined);
  });

  it('forgets the load of an earlier incarnation, and ignores a late answer of it', () => {
    const loads = createUpstreamLoads(createHost());
    loads.observe(0, FIRST, LOAD);
    const next = { ...FIRST, startedAt: 2 };
    expect(loads.getStated(1, next)).to.equal(undefined);
    loads.observe(2, next, { ...LOAD, running: 1 });
    loads.observe(3, FIRST, LOAD);
    expect(loads.getStated(4, next)!.inFlight).to.equal(3);
    expect(loads.getStated(4, FIRST)).to.equal(undefined);
  });

  it('knows a change of speed within one second, and ignores one slow request', () => {
    // 5 answers a second from each upstream, the rate of an engine in deployment R over all VMs.
    const loads = createUpstreamLoads(createHost());
    const record = (from: number, to: number, factor: number) => {
      for (let now = from; now < to; now += 200) {
        PEERS.forEach((peer) =>
          loads.recordDuration(now, peer, 's', 80 * (peer === FIRST ? factor : 1)),
        );
      }
    };
    record(0, 10_000, 1);
    loads.recordDuration(10_000, FIRST, 's', 8000);
    expect(loads.getSpeed(10_000, FIRST)).to.be.within(0.9, 1.1);
    record(10_000, 11_000, 2.5);
    expect(loads.getSpeed(11_000, FIRST)).to.be.within(0.3, 0.5);
    record(11_000, 12_000, 1);
    expect(loads.getSpeed(12_000, FIRST)).to.be.within(0.8, 1.2);
  });

  it('separates the stated slowdown of the moment from the lasting speed', () => {
    const loads = createUpstreamLoads(createHost());
    for (let now = 0; now < 20_000; now += 200) {
      PEERS.forEach((peer) => {
        const slowdown = peer === FIRST && now % 4000 < 600 ? 2.5 : 1;
        loads.observe(now, peer, { ...LOAD, slowdown });
        loads.recordDuration(now, peer, 's', 80 * slowdown);
      });
    }
    expect(loads.getSpeed(19_900, FIRST)).to.be.within(0.8, 1.1);
    loads.observe(20_000, FIRST, { ...LOAD, slowdown: 2.5 });
    expect(loads.getSpeed(20_000, FIRST)).to.be.within(0.35, 0.5);
    expect(loads.getSpeed(23_000, FIRST)).to.be.within(0.75, 1.1);
  });

  it('passes statements and durations on, and ignores upstreams that are not registered', () => {
    const teller = createUpstreamLoads(createHost());
    const host = createHost();
    const listener = createUpstreamLoads(host);
    teller.observe(0, FIRST, { ...LOAD, slowdown: 2 });
    const reports = teller.takeReports(50);
    expect(teller.takeReports(60)).to.deep.equal([]);
    listener.receiveReports(1000, reports);
    expect(listener.getStated(1000, FIRST)).to.include({ inFlight: 6, ageMs: 50 });
    expect(listener.getSpeed(950, FIRST)).to.equal(0.5);
    listener.receiveReports(1000, [['unknown', 1, 0, 1, 1, 1, 100, [], 0]]);
    expect(listener.getStated(1000, { id: 'unknown', startedAt: 1 })).to.equal(undefined);
  });

  it('merges the reports of a data centre into one for each incarnation', () => {
    // Guards against messages between data centres that grow with the number of VMs.
    const collector = createReportCollector();
    collector.add(0, [['a', 1, 0, 4, 0, 6, 100, [90, 100], 1]]);
    collector.add(100, [['a', 1, 200, 9, 9, 6, 100, [110, 120, 130, 140, 150, 160], 2]]);
    collector.add(100, [['a', 0, 0, 9, 9, 6, 100, [], 0]]);
    expect(collector.take(250)).to.deep.equal([
      ['a', 1, 250, 4, 0, 6, 100, [100, 110, 120, 130, 140, 150, 160], 3],
    ]);
    expect(collector.take(500)).to.deep.equal([]);
  });

  it('keeps every estimate finite and bounded for any statements and durations', () => {
    const figure = fc.oneof(fc.double(), fc.constantFrom(-1, 0, 1e300, NaN, Infinity));
    fc.assert(
      fc.property(fc.array(fc.tuple(figure, figure), { maxLength: 30 }), (figures) => {
        const loads = createUpstreamLoads(createHost());
        figures.forEach(([slowdown, durationMs], index) => {
          loads.receiveReports(index * 100, [['a', 1, 0, 1, 1, 4, slowdown, [durationMs], 0]]);
          loads.recordDuration(index * 100, FIRST, 's', durationMs);
        });
        const speed = loads.getSpeed(figures.length * 100, FIRST);
        expect(speed === undefined || (speed >= 1 / 8 && speed <= 4)).to.equal(true);
      }),
    );
  });

  it('measures the interval of events once for eight of them', () => {
    const samples: number[] = [];
    const record = createIntervalMeter((_, intervalMs) => samples.push(intervalMs));
    for (let index = 0; index <= 20; index += 1) {
      record(index * 25);
    }
    expect(samples).to.deep.equal([25, 25]);
  });
});

function createHost() {
  return {
    own: 0,
    getOwnInFlight() {
      return this.own;
    },
    onAnswer: () => {},
    onStated: () => {},
    onRejection: () => {},
    tryGetUpstream: (id: string) => PEERS.find((peer) => peer.id === id),
  };
}
