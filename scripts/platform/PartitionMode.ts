/**
 * How a VM's connections to servers fail: all hang; all are reset and new ones refused; old ones live on
 * and new ones are refused.
 */
type PartitionMode = 'open' | 'hang' | 'reset' | 'refused';

export default PartitionMode;
