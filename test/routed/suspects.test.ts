import { expect } from 'chai';
import fc from 'fast-check';
import createSuspects from '../../src/quarantine/createSuspects';

const CRASH_INTERVAL_MS = 700;
const LATER_MS = 1000;

/** Records crashes of new engines, each under requests with the given prompts, in turn. */
function crash(suspects: ReturnType<typeof createSuspects>, prompts: string[][][], from = 0): void {
  prompts.forEach((requests, index) =>
    requests.forEach((parts) =>
      suspects.recordCrash(from + index * CRASH_INTERVAL_MS, {
        engine: `e${from}-${index}`,
        parts,
      }),
    ),
  );
}

describe('createSuspects', () => {
  it('finds the part, not the first parts shared with sound requests or what is lost beside it', () => {
    const suspects = createSuspects();
    suspects.recordSuccess(0, ['first', 'x1']);
    crash(suspects, [
      [
        ['first', 'bad'],
        ['first', 'x2'],
        ['other', 'x3'],
      ],
      [
        ['first', 'x4'],
        ['other', 'bad'],
      ],
      [
        ['other', 'bad'],
        ['other', 'x3'],
      ],
    ]);
    expect(suspects.takeCulprits(3 * LATER_MS)).to.deep.equal(['bad']);
    expect(suspects.takeCulprits(3 * LATER_MS)).to.deep.equal([]);
  });

  it('finds the part without any success, as after a restart of all VMs', () => {
    const suspects = createSuspects();
    crash(suspects, [
      [
        ['first', 'bad'],
        ['first', 'x1'],
      ],
      [['first', 'bad']],
      [['first', 'bad']],
    ]);
    expect(suspects.takeCulprits(3 * LATER_MS)).to.deep.equal(['bad']);
    crash(suspects, [[['first', 'x2']], [['first', 'x3']]], 10);
    expect(suspects.takeCulprits(6 * LATER_MS)).to.deep.equal([]);
  });

  it('blocks nothing after crashes at the same moment, such as of a whole rack', () => {
    const suspects = createSuspects();
    ['e1', 'e2', 'e3', 'e4', 'e5'].forEach((engine, index) =>
      suspects.recordCrash(index * 10, { engine, parts: ['first', 'x'] }),
    );
    expect(suspects.takeCulprits(LATER_MS)).to.deep.equal([]);
  });

  it('counts an engine once, however many of its requests were lost', () => {
    const suspects = createSuspects();
    [0, 200, 400, 600].forEach((at) => suspects.recordCrash(at, { engine: 'e', parts: ['x'] }));
    expect(suspects.takeCulprits(LATER_MS)).to.deep.equal([]);
  });

  it('never blocks a part with which requests are served, whatever else is lost (property)', () => {
    const part = fc.constantFrom('a', 'b', 'c', 'd');
    fc.assert(
      fc.property(
        fc.array(fc.array(fc.array(part, { minLength: 1, maxLength: 3 }), { maxLength: 4 }), {
          maxLength: 12,
        }),
        part,
        (prompts, sound) => {
          const suspects = createSuspects();
          suspects.recordSuccess(0, [sound]);
          crash(suspects, prompts);
          const culprits = suspects.takeCulprits(prompts.length * CRASH_INTERVAL_MS + LATER_MS);
          expect(culprits).not.to.include(sound);
        },
      ),
    );
  });
});
