import { expect } from 'chai';
import fc from 'fast-check';
import createRegistrationDecoder from '../../platform/createRegistrationDecoder';
import decodeUpstream from '../../platform/decodeUpstream';

const REGISTRATION = {
  Backend: 's',
  Addr: '10.0.0.1:80',
  Zone: 'z',
  Slots: 4,
  State: 'ready',
  Seq: 1,
  born: 5,
  Models: [{ Name: 'm', Version: 1, Adapters: ['a@1'] }],
};

describe('the decoder of registrations', () => {
  // Guards against validating each renewal of each upstream on each VM.
  it('decodes a registration once while only its counter changes', () => {
    let decodeCount = 0;
    const decode = createRegistrationDecoder((id, text) => {
      decodeCount += 1;
      return decodeUpstream(id, text);
    });
    const first = decode('a', JSON.stringify(REGISTRATION));
    Array.from({ length: 100 }, (_, index) =>
      expect(decode('a', JSON.stringify({ ...REGISTRATION, Seq: index }))).to.equal(first),
    );
    expect(decodeCount).to.equal(1);
    expect(decode('b', JSON.stringify(REGISTRATION))?.id).to.equal('b');
    expect(decode('a', JSON.stringify({ ...REGISTRATION, State: 'draining' }))?.state).to.equal(
      'leaving',
    );
    expect(decodeCount).to.equal(3);
  });

  // Guards against taking a changed or invalid registration for a renewal.
  it('returns what decoding each text anew returns', () => {
    const value = fc.oneof(
      fc.constantFrom(REGISTRATION, { ...REGISTRATION, Slots: 5 }, { ...REGISTRATION, Slots: -1 }),
      fc.record({
        Seq: fc.oneof(fc.nat(), fc.double(), fc.string(), fc.constant({ Seq: 1 })),
        Zone: fc.constantFrom('x', '"Seq":1', '\\"Seq":2,'),
        Models: fc.constantFrom([], { Seq: 3 }, [{ Name: 'm', Version: 1, Seq: 4, Adapters: [] }]),
      }),
    );
    const text = fc.oneof(
      value.map((fields) => JSON.stringify({ ...REGISTRATION, ...fields })),
      value.map((fields) => JSON.stringify({ ...REGISTRATION, ...fields }, undefined, 1)),
      fc.constantFrom('', '{"Seq":1}', JSON.stringify(REGISTRATION).replace('"Seq":1', '"Seq":01')),
    );
    fc.assert(
      fc.property(fc.array(fc.tuple(fc.constantFrom('a', 'b'), text)), (registrations) => {
        const decode = createRegistrationDecoder(decodeUpstream);
        registrations.forEach(([id, registration]) =>
          expect(decode(id, registration)).to.deep.equal(decodeUpstream(id, registration)),
        );
      }),
    );
  });
});
