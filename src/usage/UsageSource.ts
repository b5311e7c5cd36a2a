/** Whose requests a sum counts: one VM's, or those of all VMs of this or of another data centre. */
interface UsageSource {
  kind: 'vm' | 'ownDataCentre' | 'otherDataCentre';
  name: string;
}

export default UsageSource;
