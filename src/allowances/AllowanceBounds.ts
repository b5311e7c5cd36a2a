/** Bounds on what all VMs together send for an organisation, whatever fails. */
interface AllowanceBounds {
  windowMs: number;
  /** Part by which the allowance of a window may be exceeded. */
  excess: number;
  /** Amount that is added to it, in the unit of the allowance. */
  slack: number;
}

export default AllowanceBounds;
