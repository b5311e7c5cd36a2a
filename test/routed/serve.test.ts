import { expect } from 'chai';
import createTestRequest from './createTestRequest';
import type UpstreamBehavior from './UpstreamBehavior';

describe('serveRequest', () => {
  (['nonIdempotent', 'stream'] as const).forEach((kind) => {
    it(`sends a request of kind ${kind} only once if it may have run`, async () => {
      const fixture = createTestRequest({ kind }, [{ kind: 'reset' }, createResponse(200)]);
      await fixture.run();
      expect(fixture.getSentCount()).to.equal(1);
      expect(fixture.response.status).to.equal(502);
    });
  });

  it('sends a non-idempotent request to another upstream if it has not run', async () => {
    const behaviors: UpstreamBehavior[] = [
      { kind: 'refuseConnection' },
      { kind: 'notRun', status: 503 },
      createResponse(200),
    ];
    const fixture = createTestRequest({ kind: 'nonIdempotent', attempts: 1 }, behaviors);
    await fixture.run();
    expect(fixture.response.status).to.equal(200);
    expect(fixture.response.body).to.equal('ok');
  });

  // Guards against 502 for a request that one upstream rejected as it ended, and that no other ran.
  it('tries a request elsewhere if the connection of its rejection is reset', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent', attempts: 1 }, [
      { kind: 'brokenRejection' },
      { kind: 'refuseConnection' },
      createResponse(200),
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(200);
  });

  it('refuses a request as not run after a reset rejection and refused connections', async () => {
    const refused: UpstreamBehavior = { kind: 'refuseConnection' };
    const fixture = createTestRequest({ kind: 'nonIdempotent', attempts: 1 }, [
      { kind: 'brokenRejection' },
      refused,
      refused,
      refused,
      refused,
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(503);
    expect(Number(fixture.response.headers.get('retry-after'))).to.be.greaterThan(0);
  });

  it('refuses a request with a retry-after if no upstream runs it', async () => {
    const notRun: UpstreamBehavior = { kind: 'notRun', status: 503 };
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [
      notRun,
      notRun,
      notRun,
      notRun,
      notRun,
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(503);
    expect(Number(fixture.response.headers.get('retry-after'))).to.be.greaterThan(0);
  });

  it('tries an engine that is available immediately after another granted no prefill', async () => {
    const fixture = createTestRequest({ kind: 'stream' }, [
      { kind: 'noTurn' },
      { kind: 'events', from: 1, to: 2, isBroken: false },
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(200);
    expect(fixture.placements).to.deep.equal([
      { excluded: [], isImmediate: false },
      { excluded: ['u0'], isImmediate: true },
    ]);
  });

  it('immediately refuses a request with a retry-after if no engine grants a prefill', async () => {
    const fixture = createTestRequest({ kind: 'stream' }, [{ kind: 'noTurn' }]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(0);
    expect(fixture.response.status).to.equal(503);
    expect(Number(fixture.response.headers.get('retry-after'))).to.be.greaterThan(0);
  });

  it('retries a failed idempotent request on a second upstream, but not on a third', async () => {
    const failed = createResponse(500);
    const fixture = createTestRequest({ kind: 'idempotent', attempts: 2 }, [
      failed,
      failed,
      createResponse(200),
    ]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(2);
    expect(fixture.response.status).to.equal(500);
  });

  it('does not retry an idempotent request if the retry budget is used up', async () => {
    const behaviors: UpstreamBehavior[] = [{ kind: 'reset' }, createResponse(200)];
    const fixture = createTestRequest({ kind: 'idempotent', attempts: 2 }, behaviors, false);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(1);
  });

  it('never forwards the response to another request to the caller', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [{ kind: 'otherResponse' }]);
    await fixture.run();
    expect(fixture.response.status).to.equal(502);
    expect(fixture.response.body).not.to.contain('secret');
  });

  it('takes no refusal of an unnamed request on a kept connection for its own', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [
      { kind: 'refusalWithoutId', isReused: true },
      createResponse(200),
    ]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(1);
    expect(fixture.response.status).to.equal(502);
  });

  it('takes the first response on a connection for its own, also without an id', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [
      { kind: 'refusalWithoutId', isReused: false },
      createResponse(200),
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(200);
  });

  it('resumes a broken resumable stream elsewhere without missing or repeated events', async () => {
    const fixture = createTestRequest({ kind: 'stream', isResumable: true, attempts: 2 }, [
      { kind: 'events', from: 1, to: 3, isBroken: true },
      { kind: 'events', from: 3, to: 6, isBroken: false },
    ]);
    await fixture.run();
    const ids = [...fixture.response.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    expect(ids).to.deep.equal([1, 2, 3, 4, 5, 6]);
    expect(fixture.response.isEnded).to.equal(true);
  });

  (
    [
      { kind: 'response', status: 500, body: 'failed' },
      { kind: 'response', status: 404, body: '' },
      { kind: 'response', status: 200, body: 'failed', contentType: 'text/plain' },
      { kind: 'response', status: 200, body: '', contentType: 'application/json' },
      { kind: 'response', status: 204, body: '' },
      {
        kind: 'response',
        status: 200,
        body: 'HTTP/1.1 500 Failed\r\nRequest-Id: q1\r\n\r\nfailed',
      },
      { kind: 'response', status: 200, body: 'data: failed\n\n', contentType: 'text/event-stream' },
    ] satisfies UpstreamBehavior[]
  ).forEach((failure) => {
    it(`writes nothing of ${JSON.stringify(failure)} into a stream that has begun`, async () => {
      const fixture = createTestRequest({ kind: 'stream', isResumable: true, attempts: 2 }, [
        { kind: 'events', from: 1, to: 3, isBroken: true },
        failure,
      ]);
      await fixture.run();
      expect(fixture.response.body).to.equal(
        'id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n',
      );
      expect(fixture.response.isEnded).to.equal(false);
      expect(fixture.response.isAborted).to.equal(true);
    });
  });

  it('aborts a broken stream that is not resumable instead of ending it', async () => {
    const fixture = createTestRequest({ kind: 'stream', attempts: 2 }, [
      { kind: 'events', from: 1, to: 3, isBroken: true },
      { kind: 'events', from: 3, to: 6, isBroken: false },
    ]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(1);
    expect(fixture.response.isAborted).to.equal(true);
    expect(fixture.response.isEnded).to.equal(false);
  });

  it('responds at the timeout and aborts the request to an upstream that is silent', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent', timeoutMs: 500 }, [
      { kind: 'silence' },
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(504);
    expect(fixture.getAbortCount()).to.equal(1);
  });

  it('aborts the upstream request immediately if the caller disconnects', async () => {
    const fixture = createTestRequest({ kind: 'stream' }, [{ kind: 'silence' }]);
    const done = fixture.run(100);
    await fixture.clock.advance(50);
    fixture.disconnectCaller();
    await done;
    expect(fixture.getAbortCount()).to.equal(1);
    expect(fixture.response.status).to.equal(0);
  });
});

function createResponse(status: number): UpstreamBehavior {
  return { kind: 'response', status, body: 'ok' };
}
