import { expect } from 'chai';
import fc from 'fast-check';
import decodeCallerRequest from '../../platform/decodeCallerRequest';
import decodeResponseHead from '../../platform/decodeResponseHead';
import decodeManifest from '../../platform/decodeManifest';
import decodeUpstream from '../../platform/decodeUpstream';
import decodeVersion from '../../platform/decodeVersion';
import encodeCallerRequest from '../../platform/encodeCallerRequest';
import decodeChange from '../../platform/decodeChange';

const SERVER = {
  Backend: 's',
  Addr: '10.0.0.1:80',
  Zone: 'z',
  Slots: 4,
  State: 'ready',
  born: 5,
  Seq: 1,
  ColdLeftMs: 0,
};
const MANIFEST = {
  Version: 3,
  Routes: [
    {
      Name: 'r',
      Host: 'h',
      PathPrefix: '/a/',
      Type: 'streaming',
      TimeoutMs: 1000,
      SloMs: 100,
      Prio: 2,
      Split: [{ Backend: 's', Weight: 9 }],
      Attempts: 2,
      CanResume: true,
      GapSloMs: 250,
    },
  ],
  Services: [{ Name: 's', MaxConns: 10 }],
  Limits: { MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeoutMs: 3, IdleTimeoutMs: 4 },
};

describe('decoding of the platform’s data', () => {
  it('decodes the shared parts of a prompt, without its last and those without a proper id', () => {
    const getParts = (prefix: string) =>
      decodeCallerRequest('GET', '/', ['Request-Id', 'q', 'Prompt-Prefix', prefix], Buffer.alloc(0))
        ?.sharedPromptParts;
    expect(getParts('5C1e:80, 91bd:41,e440:2')).to.deep.equal(['5c1e', '91bd']);
    expect(getParts(`:3,${'a'.repeat(65)}:1,b:2,c:3`)).to.deep.equal(['b']);
    expect(getParts('')).to.deep.equal([]);
  });

  it('decodes a server entry with the models that it holds', () => {
    const Models = [{ Name: 'm', Version: 1, Adapters: ['a1@2'] }];
    const server = { ...SERVER, Version: 'v1.2', Models };
    expect(decodeUpstream('i', JSON.stringify(server))).to.deep.equal({
      id: 'i',
      startedAt: 5,
      service: 's',
      address: '10.0.0.1:80',
      dataCentre: 'z',
      state: 'ready',
      slots: 4,
      softwareVersion: 'v1.2',
      models: [{ name: 'm', version: 1, adapters: [{ name: 'a1', version: 2 }] }],
    });
  });

  it('decodes a server entry whose software version is missing, a number or of another type', () => {
    const decode = (Version: unknown) =>
      decodeUpstream('i', JSON.stringify({ ...SERVER, Version }))?.softwareVersion;
    expect([undefined, 2, 'v2'].map(decode)).to.deep.equal([undefined, '2', 'v2']);
    expect(decodeUpstream('i', JSON.stringify({ ...SERVER, Version: {} }))?.slots).to.equal(4);
  });

  it('returns undefined for a server entry with a missing or invalid field', () => {
    const invalidServers = [
      ...Object.keys(SERVER)
        .filter((field) => !['Seq', 'ColdLeftMs'].includes(field))
        .map((field) => ({ ...SERVER, [field]: undefined })),
      { ...SERVER, State: 'resting' },
      { ...SERVER, Addr: 'elsewhere' },
      { ...SERVER, Slots: '4' },
      { ...SERVER, born: 1.5 },
    ];
    invalidServers.forEach((server) => {
      expect(decodeUpstream('i', JSON.stringify(server)), JSON.stringify(server)).to.equal(
        undefined,
      );
    });
  });

  it('returns a value or undefined for arbitrary input, and never throws', () => {
    const values = fc.oneof(fc.string(), fc.json());
    fc.assert(
      fc.property(
        values,
        fc.constantFrom('op/config', 'op/version/m.a', 'servers/i'),
        (value, key) => {
          expect(() => decodeChange({ key, revision: 1, value })).not.to.throw();
        },
      ),
    );
    expect(decodeManifest('{')).to.equal(undefined);
    expect(decodeVersion('[]')).to.equal(undefined);
  });

  it('decodes a manifest into routes, services and limits', () => {
    const manifest = decodeManifest(JSON.stringify(MANIFEST))!;
    expect(manifest.version).to.equal(3);
    expect(manifest.routes[0]).to.deep.include({
      kind: 'stream',
      attempts: 2,
      isResumable: true,
      isPublic: false,
      urgency: 2,
      pauseObjectiveMs: 250,
      targets: [{ service: 's', weight: 9 }],
    });
    expect(manifest.limits.maxBodyBytes).to.equal(2);
  });

  it('decodes organisations by key, and passes over entries and values that are invalid', () => {
    const decode = (entries: unknown) =>
      decodeManifest(JSON.stringify({ ...MANIFEST, Tenants: entries }))!.organisations;
    expect(decode(undefined)).to.equal(undefined);
    expect(decode([])).to.equal(undefined);
    const limited = { Unit: 'tokens', PlainTokens: 200, RatePerS: 4200, Burst: 8400 };
    const organisations = decode([
      { Name: 'o1', ApiKeys: ['k1', 'k2'], Prio: 1, ...limited },
      { Name: 'o2', ApiKeys: ['k3'], RatePerS: 'many', Prio: null },
      { ApiKeys: ['k4'] },
      // A name that can't be sent in a header, which would end each request in an error.
      { Name: 'o\r\nX: 1', ApiKeys: ['k5'] },
      { Name: 'o'.repeat(101), ApiKeys: ['k6'] },
      7,
    ])!;
    expect([...organisations.keys()]).to.deep.equal(['k1', 'k2', 'k3']);
    expect(organisations.get('k2')).to.deep.equal({
      name: 'o1',
      urgency: 1,
      allowance: { unit: 'tokens', perSecond: 4200, burst: 8400, defaultTokens: 200 },
    });
    [-1, 1e9, 0.5, '1'].forEach((Prio) =>
      expect(decode([{ Name: 'o', ApiKeys: ['k'], Prio }])!.get('k')?.urgency).to.equal(undefined),
    );
    const unlimited = { name: 'o2', urgency: undefined, allowance: undefined };
    expect(organisations.get('k3')).to.deep.equal(unlimited);
  });

  it('decodes the load that an upstream states, and counts an invalid one as absent', () => {
    const decodeLoad = (text: string) => decodeResponseHead(200, { 'server-load': text }).load;
    expect(decodeLoad('3,1,8')).to.deep.equal({
      running: 3,
      waiting: 1,
      slots: 8,
      slowdown: undefined,
    });
    expect(decodeLoad('3, 0, 8, 250')?.slowdown).to.equal(2.5);
    ['3,0,8,-1', '3,0,8,x', '3,0,8,1e9'].forEach((text) =>
      expect(decodeLoad(text)).to.deep.include({ running: 3, slowdown: undefined }),
    );
    ['', '3', '3,0', '3,0,0', '-1,0,8', '1.5,0,8', '1e9,0,8', 'a,b,c'].forEach((text) =>
      expect(decodeLoad(text), text).to.equal(undefined),
    );
    expect(decodeResponseHead(200, { 'server-load': '3,1,8' }).headers).to.deep.equal([]);
  });

  it('decodes from a response head whether the request was run', () => {
    expect(decodeResponseHead(503, { 'not-executed': '1' }).isNotRun).to.equal(true);
    expect(decodeResponseHead(421, {}).isNotRun).to.equal(true);
    expect(decodeResponseHead(503, {}).isNotRun).to.equal(false);
    expect(decodeResponseHead(429, {}).isNotRun).to.equal(false);
  });

  it('decodes the limit that an upstream states, and does not forward it', () => {
    const decode = (text: string) => decodeResponseHead(200, { 'server-limit': text });
    expect(decode('1.8').limit).to.deep.equal({ kind: 'stated', perSecond: 1.8 });
    expect(decode('0').limit).to.deep.equal({ kind: 'stated', perSecond: 0 });
    expect(decode('1.8').headers).to.deep.equal([]);
    expect(decodeResponseHead(200, {}).limit).to.deep.equal({ kind: 'none' });
    ['', '-1', 'NaN', 'Infinity', '1.8.2', 'few', '0x10'].forEach((text) =>
      expect(decode(text).limit).to.deep.equal({ kind: 'unreadable', text }),
    );
  });

  it('decodes the time to stay away of a refusal, however odd, and whether an upstream leaves', () => {
    const decodeRest = (text: string) => decodeResponseHead(503, { 'retry-after': text }).rest;
    expect(decodeRest('1.5')).to.deep.equal({ kind: 'stated', ms: 1500 });
    expect(decodeRest(' 0 ')).to.deep.equal({ kind: 'stated', ms: 0 });
    expect(decodeRest('1e9')).to.deep.equal({ kind: 'stated', ms: 1e12 });
    ['-3', '', 'soon', 'Wed, 21 Oct 2026 07:28:00 GMT', '1e999', '2, 3'].forEach((text) =>
      expect(decodeRest(text)).to.deep.equal({ kind: 'unreadable', text }),
    );
    expect(decodeResponseHead(503, {}).rest).to.deep.equal({ kind: 'none' });
    expect(decodeResponseHead(429, { 'retry-after': '3' }).rest).to.deep.equal({ kind: 'none' });
    const isLeaving = (value: string | string[] | undefined) =>
      decodeResponseHead(421, { 'server-leaving': value }).isLeaving;
    expect([undefined, '0', '1', ' 1', ['1', '1']].map(isLeaving)).to.deep.equal([
      false,
      false,
      true,
      true,
      true,
    ]);
    expect(
      decodeResponseHead(503, { 'server-leaving': '1', 'retry-after': '3', other: 'x' }).headers,
    ).to.deep.equal([['other', 'x']]);
  });
});

describe('decoding and encoding of a caller’s request', () => {
  const rawHeaders = [
    ...['Host', 'h', 'Request-Id', 'q1', 'Model', 'm/a1', 'Token-Count', '10,20'],
    ...['Prompt-Prefix', '1:2', 'Deadline-Ms', '900', 'X-Own', 'kept'],
  ];
  const systemHeaders = [
    ...['Hold', '1', 'Pin-Ms', '1', 'Kv-Backup', 'x', 'Kv-From', 'x', 'Kv-Fetch', 'x'],
    ...['Expect-Instance', 'x', 'Expect-Version', '1', 'Request-Priority', '0'],
  ];
  const attemptOptions = {
    deadlineMs: 800,
    upstream: 'i',
    version: 4,
    urgency: 1,
    resumeAfter: undefined,
  };

  it('keeps the caller’s own headers and adds those of the attempt', () => {
    const callerRequest = decodeCallerRequest('POST', '/a/b?c', rawHeaders, Buffer.from('body'))!;
    expect(callerRequest).to.deep.include({ id: 'q1', model: 'm', adapter: 'a1', deadlineMs: 900 });
    const headers = toMap(encodeCallerRequest(callerRequest, attemptOptions).headers);
    expect(headers.get('model')).to.equal('m/a1');
    expect(headers.get('prompt-prefix')).to.equal('1:2');
    expect(headers.get('x-own')).to.equal('kept');
    expect(headers.get('deadline-ms')).to.equal('800');
    expect(headers.get('expect-instance')).to.equal('i');
    expect(headers.get('expect-version')).to.equal('4');
  });

  it('removes headers that only the system sets and headers of one connection', () => {
    const connectionHeaders = ['Connection', 'close, X-Hop', 'X-Hop', '1', 'TE', 'trailers'];
    const callerRequest = decodeCallerRequest(
      'POST',
      '/',
      [...rawHeaders, ...systemHeaders, ...connectionHeaders],
      Buffer.alloc(0),
    )!;
    const headers = toMap(
      encodeCallerRequest(callerRequest, { ...attemptOptions, version: undefined }).headers,
    );
    ['hold', 'pin-ms', 'kv-backup', 'kv-from', 'kv-fetch', 'x-hop', 'te', 'connection'].forEach(
      (name) => expect(headers.has(name), name).to.equal(false),
    );
    expect(headers.get('expect-instance')).to.equal('i');
    expect(headers.has('expect-version')).to.equal(false);
    expect(headers.get('request-priority')).to.equal('1');
  });

  it('returns undefined for a request without an id', () => {
    expect(decodeCallerRequest('GET', '/', ['Host', 'h'], Buffer.alloc(0))).to.equal(undefined);
  });
});

function toMap(headers: string[]): Map<string, string> {
  const pairs = headers.flatMap((name, index): [string, string][] =>
    index % 2 === 0 ? [[name.toLowerCase(), headers[index + 1]]] : [],
  );
  expect(new Set(pairs.map(([name]) => name)).size).to.equal(pairs.length);
  return new Map(pairs);
}
