import { expect } from 'chai';
import playOwnedEngine from './playOwnedEngine';

const SEEDS = Array.from({ length: 30 }, (_, index) => index + 1);
const DURATION_MS = 30_000;
const LATE_SHARE = 0.35;

describe('adapter slots of an engine', () => {
  it('are not exceeded if reports are older than the last command and commands run late', () =>
    checkSlots({}));

  it('are not exceeded if the engine restarts while commands run late', () =>
    checkSlots({ crashesAt: [8000, 16_000] }));

  it('are not exceeded if a restart is reported before it is registered', () =>
    checkSlots({
      crashesAt: [4000, 8000, 12_000],
      areStartsReported: true,
      registrationLagMs: 3000,
    }));

  it('are not exceeded if an unload runs late and its adapter is in use', () =>
    checkSlots({ unknownUseShare: 0.3 }));

  it('are not exceeded if owners restart while adapters are in use', () =>
    checkSlots({
      killsAt: [4000, 5000, 8000, 9000, 12_000, 13_000, 16_000, 17_000],
      succeedAfterMs: 300,
      useUnknownMs: 150,
    }));

  it('are not exceeded if the owner and the engine restart while commands run late', () =>
    checkSlots({ killsAt: [8500, 17_000], crashesAt: [9000, 18_000], succeedAfterMs: 300 }));

  it('are not exceeded if another owner follows and the engine restarts while commands run late', () =>
    checkSlots({ killsAt: [8000, 17_000], crashesAt: [9000, 18_000], succeedAfterMs: 6000 }));
});

async function checkSlots(options: Partial<Parameters<typeof playOwnedEngine>[0]>): Promise<void> {
  for (const seed of SEEDS) {
    const { excessLoads, loads } = await playOwnedEngine({
      seed,
      durationMs: DURATION_MS,
      lateShare: LATE_SHARE,
      ...options,
    });
    expect(excessLoads, `seed ${seed}`).to.equal(0);
    expect(loads, `seed ${seed}`).to.be.greaterThan(20);
  }
}
