import { expect } from 'chai';
import fc from 'fast-check';
import createForwardCodec from '../../platform/createForwardCodec';
import decodeCallerRequest from '../../platform/decodeCallerRequest';
import createTestGateway from './createTestGateway';

const ORGANISATIONS = [
  { Name: 'first', ApiKeys: ['key-1a', 'key-1b'], Prio: 0 },
  { Name: 'zweite ☂', ApiKeys: ['key-2'] },
];
const KEY_PATTERN = /key-\w+/i;

type Gateway = Awaited<ReturnType<typeof createTestGateway>>;

describe('organisations, between a caller and an upstream', () => {
  let gateway: Gateway;

  beforeEach(async () => {
    gateway = await createTestGateway();
    gateway.state.organisations = ORGANISATIONS;
  });

  afterEach(() => gateway.close());

  [false, true].forEach((isForwarding) => {
    describe(isForwarding ? 'by way of another VM' : 'by way of one VM', () => {
      beforeEach(() => {
        gateway.state.isForwarding = isForwarding;
      });

      // Guards against a key that reaches the upstream, and against a caller that names an organisation.
      it('passes on the organisation of the key, and neither the key nor the caller’s own claim', async () => {
        await send('/a', ['Authorization: Token key-1b', 'Tenant: forged', 'X-Own: kept']);
        await send('/a', ['authorization: token  key-2', 'TENANT: first', 'Connection: tenant']);
        await send('/a', ['Connection: authorization', 'AUTHORIZATION: Token key-1a']);
        expect(gateway.received.map(getNames)).to.deep.equal([['first'], ['zweite ☂'], ['first']]);
        expect(gateway.received[0].rawHeaders).to.include.members(['X-Own', 'kept']);
        expectNoKey();
      });

      // Guards against a request whose organisation depends on which of two headers is read.
      it('refuses requests without a single, well-formed and known key, and sends none', async () => {
        const refused = [
          [],
          ['Authorization: Token key-3'],
          ['Authorization: Token key-1a', 'Authorization: Token key-2'],
          ['Authorization: Token key-1a', 'authorization: Token key-1a'],
          ['Authorization: Token key-1a, Token key-2'],
          ['Authorization: Token key-1a key-2'],
          ['Authorization: Token'],
          ['Authorization: key-1a'],
          ['Authorization: Bearer key-1a'],
          ['X-Authorization: Token key-1a', 'Tenant: first'],
          ['Baobablink-Organisation: first', 'Tenant: first'],
        ];
        for (const lines of refused) {
          const response = await send('/a', lines);
          expect(response, lines.join()).to.match(/^HTTP\/1.1 401 .*"code":"unknownKey"/s);
          expect(response).not.to.match(/retry-after/i);
        }
        expect(gateway.received).to.have.length(0);
        expectNoKey();
      });

      it('names the organisation on a public route if its key is known, and refuses nobody', async () => {
        await send('/open/a', ['Authorization: Token key-2']);
        await send('/open/a', ['Authorization: Token key-3', 'Tenant: first']);
        await send('/open/a', ['Tenant: first', 'Baobablink-Organisation: first']);
        expect(gateway.received.map(getNames)).to.deep.equal([['zweite ☂'], [], []]);
        expectNoKey();
      });

      // Guards against a change for deployments without organisations.
      it('passes both headers on as they came if the manifest has no organisations', async () => {
        gateway.state.organisations = isForwarding ? undefined : [];
        const headers = ['Tenant', 'x', 'X-Own', '1', 'authorization', 'Token key-1a'];
        await send('/a', ['Tenant: x', 'X-Own: 1', 'authorization: Token key-1a']);
        const { rawHeaders } = gateway.received[0];
        const sent = ['Request-Id', 'q1', ...headers, 'Deadline-Ms'];
        const from = rawHeaders.indexOf('Request-Id');
        expect(rawHeaders.slice(from, from + sent.length)).to.deep.equal(sent);
        const count = await gateway.metrics.organisationRequests.get();
        expect(count.values).to.deep.equal([]);
      });

      it('replaces the urgency of the route by that of the organisation, if it has one', async () => {
        await send('/a', ['Authorization: Token key-1a', 'Request-Priority: 7']);
        await send('/a', ['Authorization: Token key-2']);
        expect(gateway.received.map((one) => getValues(one, 'request-priority'))).to.deep.equal([
          ['0'],
          ['3'],
        ]);
      });

      it('logs and counts requests by the name of the organisation', async () => {
        await send('/a', ['Authorization: Token key-1a']);
        await send('/a', ['Authorization: Token key-3']);
        const ended = gateway.lines.filter((line) => line.includes('"organisation":"first"'));
        expect(ended).to.have.length(isForwarding ? 2 : 1);
        const { values } = await gateway.metrics.organisationRequests.get();
        expect(values.map(({ labels, value }) => ({ ...labels, value }))).to.deep.equal([
          { organisation: 'first', outcome: 'answered', value: 1 },
          { organisation: 'none', outcome: 'refused', value: 1 },
        ]);
        expectNoKey();
      });
    });
  });

  // Guards against a key that stays valid for as long as its caller keeps the connection.
  it('refuses a withdrawn key on a connection that stays open, and ends no stream in progress', async () => {
    const [streaming, calling] = [gateway.connect(), gateway.connect()];
    const headers = ['Authorization: Token key-1a'];
    gateway.state.isHolding = true;
    await streaming.send('/a', headers, /begun/);
    gateway.state.isHolding = false;
    expect(await calling.send('/a', headers)).to.match(/^HTTP\/1.1 200 /);
    gateway.state.organisations = [{ Name: 'first', ApiKeys: ['key-1b', 'key-4'] }];
    expect(await calling.send('/a', headers)).to.match(/^HTTP\/1.1 401 /);
    expect(await calling.send('/a', ['Authorization: Token key-4'])).to.match(/^HTTP\/1.1 200 /);
    gateway.finish();
    expect(await streaming.waitFor(/done/)).to.match(/\r\n0\r\n\r\n$/);
    streaming.close();
    calling.close();
  });

  it('refuses requests that need a key while its manifest is not confirmed', async () => {
    gateway.state.unconfirmedMs = 5001;
    const response = await send('/a', ['Authorization: Token key-1a']);
    expect(response).to.match(/^HTTP\/1.1 503 .*retry-after: 0.5.*"code":"unconfirmed"/s);
    expect(await send('/open/a', [])).to.match(/^HTTP\/1.1 200 /);
    gateway.state.organisations = undefined;
    expect(await send('/a', [])).to.match(/^HTTP\/1.1 200 /);
  });

  // Guards against a caller that reaches the address for requests of other VMs.
  it('takes no organisation from a caller at the address for other VMs', async () => {
    const connection = gateway.connect(gateway.carrierPort);
    const lines = ['Baobablink-Token: x', 'Baobablink-Organisation: first'];
    expect(await connection.send('/a', lines)).to.match(/^HTTP\/1.1 400 /);
    connection.close();
    expect(gateway.received).to.have.length(0);
  });

  // Guards against obsolete line folding, which hides a header in another one's value.
  it('passes no folded header on as one of its own', async () => {
    await send('/a', ['Authorization: Token key-1a', 'X-Own: 1', ' Tenant: forged']);
    gateway.received.forEach((one) => expect(getNames(one)).to.deep.equal(['first']));
  });

  async function send(path: string, headerLines: string[]): Promise<string> {
    const connection = gateway.connect();
    const response = await connection.send(path, headerLines);
    connection.close();
    return response;
  }

  function expectNoKey(): void {
    expect(JSON.stringify(gateway.received)).not.to.match(KEY_PATTERN);
    expect(gateway.lines.join()).not.to.match(KEY_PATTERN);
  }
});

describe('organisations of forwarded requests', () => {
  const codec = createForwardCodec('key of the VMs');

  it('arrive as they were sent, whatever their name', () => {
    fc.assert(
      fc.property(
        fc.option(fc.string({ minLength: 1, unit: 'grapheme' }), { nil: undefined }),
        (organisation) => {
          const received = forward(['Request-Id', 'q'], organisation);
          expect(received.verified).to.deep.equal({ organisation });
          expect(received.caller).to.equal(organisation);
          expect(received.credentials).to.equal(undefined);
        },
      ),
    );
  });

  // Guards against a VM of an earlier build, which passes on all headers of a caller.
  it('are not taken from a caller by way of a VM that states none', () => {
    const stolen = forward(['Request-Id', 'q'], 'other');
    const name = ['Baobablink-Organisation', stolen.verified?.organisation ?? ''];
    const rawHeaders = ['Request-Id', 'q', 'Authorization', 'Token k', ...name];
    const request = decodeCallerRequest('GET', '/', rawHeaders, Buffer.alloc(0))!;
    const { headers } = codec.encodeRequest({ ...request, forwarded: { attempts: 1 } });
    const received = codec.decodeRequest('GET', '/', [...name, ...headers], Buffer.alloc(0))!;
    expect(received.verified).to.equal(undefined);
    expect(received.headers.map(([header]) => header)).to.deep.equal(['Request-Id']);
  });

  it('keep to the attempts that the forwarding VM allows, whatever the caller states', () => {
    const received = forward(['Request-Id', 'q', 'Baobablink-Attempts', '9'], 'o');
    expect(received.forwarded).to.deep.equal({ attempts: 2 });
  });

  function forward(rawHeaders: string[], organisation: string | undefined) {
    const request = decodeCallerRequest('GET', '/', rawHeaders, Buffer.alloc(0))!;
    const { headers } = codec.encodeRequest({
      ...request,
      credentials: undefined,
      verified: { organisation },
      forwarded: { attempts: 2 },
    });
    return codec.decodeRequest('GET', '/', headers, Buffer.alloc(0))!;
  }
});

function getNames(received: Gateway['received'][number]): string[] {
  return getValues(received, 'tenant').map((value) => Buffer.from(value, 'latin1').toString());
}

function getValues({ rawHeaders }: Gateway['received'][number], name: string): string[] {
  return rawHeaders.filter(
    (_, index) => index % 2 === 1 && rawHeaders[index - 1].toLowerCase() === name,
  );
}
