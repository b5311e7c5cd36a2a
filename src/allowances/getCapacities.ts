import type Allowance from '../manifest/Allowance';
import type AllowanceBounds from './AllowanceBounds';

const MS_PER_SECOND = 1000;
/** Part of the tolerated excess that is in the account or lent beyond the burst. */
const LENT_PART = 0.6;
/** Part of it that a new holder may lend while it does not know what the former one lent. */
const TAKEOVER_PART = 0.25;
/** VMs hold at most one in this many parts of an account, so that a failed VM holds little. */
const HOLDERS_AT_LEAST = 8;
/** A VM can always hold this much: the largest requests are of 10,000 tokens. */
const MIN_VM_SHARE = 16_000;

/**
 * Returns how much of an allowance may be unused at any time. What is sent in any window is at most what
 * was unused at its start (`capacity` and `takeover`) and the rate over the window; the sum stays within
 * the bounds. The rest of the excess is left for further attempts until the account is charged for them.
 */
export default function getCapacities(
  { perSecond, burst }: Pick<Allowance, 'perSecond' | 'burst'>,
  { windowMs, excess, slack }: AllowanceBounds,
) {
  const tolerated = ((perSecond * windowMs) / MS_PER_SECOND + burst) * excess + slack;
  const capacity = burst + tolerated * LENT_PART;
  return {
    /** Most that the account and all VMs hold together. */
    capacity,
    takeover: tolerated * TAKEOVER_PART,
    /** Most that one VM holds. */
    vmShare: Math.min(capacity, Math.max(capacity / HOLDERS_AT_LEAST, MIN_VM_SHARE)),
  };
}
