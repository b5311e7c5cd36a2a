import { expect } from 'chai';
import createForwardCodec from '../../platform/createForwardCodec';
import type CallerRequest from '../../src/gateway/CallerRequest';
import decodeCallerRequest from '../../platform/decodeCallerRequest';

const RAW_HEADERS = ['Host', 'h', 'Request-Id', 'q', 'Model', 'm/a', 'Hold', '1'];

describe('requests that one VM forwards to another', () => {
  const codec = createForwardCodec('key');
  const original = decodeCallerRequest('POST', '/a?b=1', RAW_HEADERS, Buffer.from('x'))!;
  const forwarded: CallerRequest = {
    ...original,
    deadlineMs: 900,
    resumeAfter: '4',
    resumedRequest: 'q0',
    forwarded: { attempts: 2 },
  };

  it('arrive as they were sent', () => {
    const { method, path, headers, body } = codec.encodeRequest(forwarded);
    const received = codec.decodeRequest(method, path, headers, body!)!;
    const apart = { headers: [], credentials: undefined };
    expect({ ...received, ...apart }).to.deep.equal({ ...forwarded, ...apart });
    expect(received.credentials).to.deep.equal({
      apiKey: undefined,
      allHeaders: received.headers,
    });
    const names = received.headers.map(([name]) => name);
    expect(names).to.deep.equal(['Host', 'Request-Id', 'Model', 'Resumes']);
  });

  it('are refused without the token of the cluster, as is one of another cluster', () => {
    const { method, path, headers, body } = codec.encodeRequest(forwarded);
    expect(createForwardCodec('other').decodeRequest(method, path, headers, body!)).to.equal(
      undefined,
    );
    expect(codec.decodeRequest('POST', '/a', RAW_HEADERS, Buffer.alloc(0))).to.equal(undefined);
  });

  it('count as not run only by the other VM’s own word, and keep its time to come back', () => {
    const refusal = codec.decodeHead('q', 503, { 'retry-after': '0.4' });
    expect(refusal.isNotRun).to.equal(true);
    expect(refusal.headers).to.deep.equal([['retry-after', '0.4']]);
    const failure = codec.decodeHead('q', 503, { 'response-signature': 's' });
    expect(failure.isNotRun).to.equal(false);
    expect(codec.decodeHead('q', 502, {}).isNotRun).to.equal(false);
  });
});
