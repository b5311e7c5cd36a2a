/** Whether requests with a trait are refused. The record of a higher version holds. */
interface Block {
  /** See `getTraits`. */
  trait: string;
  /** Increases with each change, so that VMs that hear of changes in different orders agree. */
  version: number;
  isBlocked: boolean;
}

export default Block;
