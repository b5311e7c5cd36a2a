import { expect } from 'chai';
import getReturnMs from '../../src/gateway/getReturnMs';
import createRests from '../../src/readiness/createRests';

const UPSTREAM = { id: 'u', startedAt: 5 };
const NEXT = { id: 'u', startedAt: 6 };
const HOST = { broadcast: () => {}, onRestElsewhere: () => {}, countRest: () => {}, log: () => {} };
const stated = (ms: number) => ({ rest: { kind: 'stated' as const, ms } });

describe('times for which upstreams want no requests', () => {
  it('are not shortened by a second response, and end', () => {
    const rests = createRests(HOST);
    rests.observe(0, UPSTREAM, stated(4000));
    rests.observe(500, UPSTREAM, stated(1000));
    expect(rests.getEndsInMs(1600, UPSTREAM)).to.equal(2400);
    rests.observe(2000, UPSTREAM, stated(3000));
    expect(rests.getEndsInMs(4000, UPSTREAM)).to.equal(1000);
    expect(rests.tryGetObstacle(5000, UPSTREAM)).to.equal(undefined);
  });

  it('bind one incarnation, and a late response of a former one says nothing', () => {
    const rests = createRests(HOST);
    rests.observe(0, UPSTREAM, stated(4000));
    expect(rests.getEndsInMs(100, NEXT)).to.equal(0);
    rests.observe(200, NEXT, stated(1000));
    rests.observe(300, UPSTREAM, stated(9000));
    expect(rests.getEndsInMs(300, NEXT)).to.equal(900);
  });

  it('have bounds, and odd values are logged and ignored', () => {
    const logged: string[] = [];
    const rests = createRests({ ...HOST, log: (event) => logged.push(event) });
    rests.observe(0, UPSTREAM, { rest: { kind: 'unreadable', text: '-1' } });
    rests.observe(0, UPSTREAM, { rest: { kind: 'none' } });
    rests.observe(0, UPSTREAM, stated(0));
    expect(rests.getEndsInMs(0, UPSTREAM)).to.equal(0);
    rests.observe(0, UPSTREAM, stated(1e15));
    expect(rests.getEndsInMs(0, UPSTREAM)).to.be.within(1000, 1e8);
    expect(logged).to.deep.equal(['restUnreadable', 'upstreamRested', 'upstreamRested']);
  });

  it('send callers back after their end, or as late as callers honour', () => {
    const draws = [0, 0.25, 0.5, 0.75, 1];
    draws.forEach((random) => {
      expect(getReturnMs(1000, 9000, random)).to.be.within(1000, 3000);
      expect(getReturnMs(60_000, 9000, random)).to.be.within(2000, 3000);
      expect(getReturnMs(1000, 0, random)).to.be.at.most(1);
    });
    expect(new Set(draws.map((random) => getReturnMs(60_000, 9000, random)))).to.have.length(5);
  });
});
