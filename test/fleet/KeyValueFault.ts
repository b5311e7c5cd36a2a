/** How the fake key-value service fails the calls of a VM. */
type KeyValueFault = 'none' | 'refused' | 'silent';

export default KeyValueFault;
