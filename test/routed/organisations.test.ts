import { expect } from 'chai';
import type CallerRequest from '../../src/gateway/CallerRequest';
import type Organisation from '../../src/manifest/Organisation';
import createBoundedLabels from '../../src/organisations/createBoundedLabels';
import createIdentification from '../../src/organisations/createIdentification';
import getRequestTrait from '../../src/quarantine/getRequestTrait';
import createRequest from '../fleet/createRequest';

const FIRST: Organisation = { name: 'first', urgency: 0, allowance: undefined };
const ORGANISATIONS = new Map([
  ['key-1a', FIRST],
  ['key-1b', FIRST],
  ['key-2', { name: 'second', urgency: undefined, allowance: undefined }],
]);
const { identify } = createIdentification({
  getUnconfirmedMs: () => 0,
  getMaxUnconfirmedMs: () => Infinity,
});

describe('the organisation of a request', () => {
  // Guards against blocks that a caller evades with its second key, or that apply to another one.
  it('is the caller by which requests that crash upstreams are told apart', () => {
    const getTrait = (apiKey: string | undefined) =>
      getRequestTrait(identifyKey(apiKey).callerRequest);
    expect(getTrait('key-1a')).to.equal(getTrait('key-1b'));
    expect(getTrait('key-1a')).not.to.equal(getTrait('key-2'));
    expect(getTrait(undefined)).to.equal(getTrait('key-3'));
  });

  it('leaves nothing of the key in the request that is passed on', () => {
    expect(JSON.stringify(identifyKey('key-1a'))).not.to.include('key-1a');
    expect(JSON.stringify(identifyKey('key-3'))).not.to.include('key-3');
  });

  it('is that of the forwarding VM, with the settings that this VM knows of it', () => {
    const getSettings = (organisation: string) => {
      const request = { ...createRequest(1, 'a'), verified: { organisation } };
      const identified = identify(
        0,
        { organisations: ORGANISATIONS },
        { isPublic: false },
        request,
      );
      return identified.ok ? identified.value.organisation : undefined;
    };
    expect(getSettings('first')).to.equal(FIRST);
    const unknown = { name: 'third', urgency: undefined, allowance: undefined };
    expect(getSettings('third')).to.deep.equal(unknown);
  });

  // Guards against metrics that grow with the number of names.
  it('has a label of its own up to a limit', () => {
    const getLabel = createBoundedLabels(2);
    expect(['a', 'b', 'c', 'a', 'd'].map(getLabel)).to.deep.equal([
      'a',
      'b',
      'other',
      'a',
      'other',
    ]);
  });
});

function identifyKey(apiKey: string | undefined) {
  const allHeaders: [string, string][] = [['authorization', `Token ${apiKey}`]];
  const request: CallerRequest = {
    ...createRequest(1, 'a'),
    caller: allHeaders[0][1],
    credentials: { apiKey, allHeaders },
  };
  const identified = identify(0, { organisations: ORGANISATIONS }, { isPublic: true }, request);
  expect(identified.ok).to.equal(true);
  return identified.ok ? identified.value : expect.fail();
}
