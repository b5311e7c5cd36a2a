/** Whether requests whose prompt has a part are refused. The record of a higher version holds. */
interface PromptBlock {
  part: string;
  /** Increases with each change, so that VMs that hear of changes in different orders agree. */
  version: number;
  isBlocked: boolean;
}

export default PromptBlock;
