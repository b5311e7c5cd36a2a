import { expect } from 'chai';
import decodeChange from '../../platform/decodeChange';
import decodeManifest from '../../platform/decodeManifest';
import decodeUpstream from '../../platform/decodeUpstream';
import decodeVersion from '../../platform/decodeVersion';
import createConnections from '../../src/upstream/createConnections';
import probeAddress from '../../src/upstream/probeAddress';

const NESTING_LEVELS = 200_000;
const SERVER = { Backend: 's', Addr: '10.0.0.1:80', Zone: 'z', Slots: 4, State: 'ready', born: 5 };
const REQUEST = { method: 'GET', path: '/', headers: [], body: undefined };

describe('odd entries of another writer', () => {
  const encode = (fields: Record<string, unknown>) => JSON.stringify({ ...SERVER, ...fields });

  ['1.2.3.4:99999', '1.2.3.4:65536', '999.2.3.4:80', '1.2.3.4:0', '1.2.3.4:-1', '1.2.3:80'].forEach(
    (address) => {
      it(`name no upstream at the address ${address}`, () => {
        expect(decodeUpstream('i', encode({ Addr: address }))).to.equal(undefined);
      });
    },
  );

  it('name no upstream with numbers that are too large', () => {
    [Number.MAX_SAFE_INTEGER, 1e300, 1e6].forEach((Slots) =>
      expect(decodeUpstream('i', encode({ Slots }))).to.equal(undefined),
    );
    expect(decodeUpstream('i', encode({}).replace('"Slots":4', '"Slots":1e999'))).to.equal(
      undefined,
    );
    expect(decodeUpstream('i', encode({ born: 1e300 }))).to.equal(undefined);
  });

  it('end nothing, however deeply they are nested', () => {
    const nested = `${'['.repeat(NESTING_LEVELS)}${']'.repeat(NESTING_LEVELS)}`;
    const objects = `${'{"a":'.repeat(NESTING_LEVELS)}1${'}'.repeat(NESTING_LEVELS)}`;
    [nested, objects].forEach((text) => {
      expect(decodeUpstream('i', text)).to.equal(undefined);
      expect(decodeManifest(text)).to.equal(undefined);
      expect(decodeVersion(text)).to.equal(undefined);
      const withModels = encode({}).replace('"born":5', `"born":5,"Models":${text}`);
      const change = decodeChange({ key: 'servers/i', revision: 1, value: withModels });
      expect(change.kind).to.equal('upstream');
    });
  });

  it('neither throw nor use up connections if they reach the connections all the same', async () => {
    const connections = createConnections(() => {});
    const errors: string[] = [];
    const send = () =>
      connections.send('1.2.3.4:99999', REQUEST, 1, {
        onHead: () => {},
        onData: () => {},
        onEnd: () => {},
        onError: ({ kind }) => errors.push(kind),
      });
    send();
    send();
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect(errors).to.deep.equal(['notSent', 'notSent']);
    expect(connections.getOpenCount()).to.equal(0);
    expect(await probeAddress('1.2.3.4:99999')).to.equal('silent');
  });
});
