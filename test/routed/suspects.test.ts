import { expect } from 'chai';
import fc from 'fast-check';
import createSuspects from '../../src/quarantine/createSuspects';

const CRASH_INTERVAL_MS = 700;
const LATER_MS = 1000;

type Suspects = ReturnType<typeof createSuspects>;

/** Records crashes of new upstreams, each under requests with the given traits, in turn. */
function crash(suspects: Suspects, prompts: string[][][], from = 0): void {
  prompts.forEach((requests, index) =>
    requests.forEach((traits) =>
      crashAt(suspects, from + index * CRASH_INTERVAL_MS, `e${from}-${index}`, traits),
    ),
  );
}

function crashAt(suspects: Suspects, at: number, upstream: string, traits: string[], ranMs = 90) {
  suspects.recordCrash(at, { upstream, requests: [{ traits, ageMs: 0, ranMs }] });
}

describe('createSuspects', () => {
  it('finds the part, not the first parts shared with sound requests or what is lost beside it', () => {
    const suspects = createSuspects();
    ['first', 'x1'].forEach((part) => suspects.recordSuccess(0, part));
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
      crashAt(suspects, index * 10, engine, ['first', 'x']),
    );
    expect(suspects.takeCulprits(LATER_MS)).to.deep.equal([]);
  });

  it('counts an engine once, however many of its requests were lost', () => {
    const suspects = createSuspects();
    [0, 200, 400, 600].forEach((at) => crashAt(suspects, at, 'e', ['x']));
    expect(suspects.takeCulprits(LATER_MS)).to.deep.equal([]);
  });

  it('finds a request that is sent to the next upstream right after it has crashed one', () => {
    const suspects = createSuspects();
    [0, 45, 90].forEach((at) => crashAt(suspects, at, `e${at}`, ['request:bad'], 40));
    expect(suspects.takeCulprits(LATER_MS)).to.deep.equal(['request:bad']);
  });

  it('finds the request, not parts of its prompt that others share', () => {
    const suspects = createSuspects();
    crash(suspects, [
      [
        ['part:first', 'part:x', 'request:bad'],
        ['part:first', 'request:a'],
      ],
      [
        ['part:first', 'part:x', 'request:bad'],
        ['part:first', 'request:b'],
      ],
      [
        ['part:first', 'part:x', 'request:bad'],
        ['part:first', 'request:c'],
      ],
    ]);
    expect(suspects.takeCulprits(3 * LATER_MS)).to.deep.equal(['request:bad']);
    expect(suspects.getCount()).to.equal(0);
  });

  it('finds a part though each of its requests was sent twice', () => {
    const suspects = createSuspects();
    crash(
      suspects,
      ['a', 'a', 'b', 'b', 'c'].map((name) => [['part:first', 'part:bad', `request:${name}`]]),
    );
    expect(suspects.takeCulprits(5 * LATER_MS)).to.deep.equal(['part:bad']);
  });

  it('forgets the crashes of a request that is served, not those that come later', () => {
    const suspects = createSuspects();
    crash(suspects, [[['request:a']], [['request:a']], [['request:a']]]);
    expect(suspects.recordSuccess(LATER_MS, 'request:a')).to.equal(true);
    expect(suspects.takeCulprits(3 * LATER_MS)).to.deep.equal([]);
    crash(suspects, [[['request:a']], [['request:a']], [['request:a']]], 4 * LATER_MS);
    expect(suspects.takeCulprits(8 * LATER_MS)).to.deep.equal(['request:a']);
  });

  it('takes bounded memory, however many requests are lost', () => {
    const suspects = createSuspects();
    for (let index = 0; index < 10_000; index += 1) {
      crashAt(suspects, index, `e${index}`, [`request:${index}`]);
    }
    expect(suspects.getCount()).to.be.at.most(4096);
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
          suspects.recordSuccess(0, sound);
          crash(suspects, prompts);
          const culprits = suspects.takeCulprits(prompts.length * CRASH_INTERVAL_MS + LATER_MS);
          expect(culprits).not.to.include(sound);
        },
      ),
    );
  });
});
