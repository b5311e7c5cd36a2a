import { expect } from 'chai';
import fc from 'fast-check';
import createObstacles from '../../src/readiness/createObstacles';
import type Obstacle from '../../src/readiness/Obstacle';
import type Upstream from '../../src/upstream/Upstream';

const KINDS = ['leaving', 'resting', 'limited', 'full', 'suspended', 'unreachable'] as const;
const upstream = { id: 'u' } as Upstream;

describe('obstacles', () => {
  // Guards against asking all sources about each upstream for each request.
  it('of one kind are asked only of the sources that can have them, with the same answers', () => {
    const source = fc.record({
      kind: fc.constantFrom(...KINDS),
      isPresent: fc.boolean(),
      isBinding: fc.boolean(),
      endsInMs: fc.option(fc.nat(), { nil: undefined }),
      isTagged: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(source), (sources) => {
        const asked: string[] = [];
        const functions = sources.map(({ isPresent, isTagged, ...obstacle }) =>
          Object.assign(
            (): Obstacle | undefined => {
              asked.push(isTagged ? obstacle.kind : 'any');
              return isPresent ? obstacle : undefined;
            },
            isTagged ? { onlyKind: obstacle.kind } : {},
          ),
        );
        const obstacles = createObstacles(functions);
        const present = sources.filter(({ isPresent }) => isPresent);
        KINDS.forEach((kind) => {
          const ofKind = present.filter((obstacle) => obstacle.kind === kind);
          asked.length = 0;
          expect(obstacles.has(0, upstream, kind)).to.equal(ofKind.length > 0);
          expect(obstacles.getEndsInMs(0, upstream, kind)).to.equal(
            ofKind[0]?.endsInMs ?? Infinity,
          );
          expect(asked.filter((askedKind) => askedKind !== 'any' && askedKind !== kind)).to.eql([]);
        });
        expect(obstacles.isOpen(0, upstream)).to.equal(!present.some(({ isBinding }) => isBinding));
        expect(obstacles.isAvoided(0, upstream)).to.equal(
          present.some(({ isBinding }) => !isBinding),
        );
      }),
    );
  });
});
