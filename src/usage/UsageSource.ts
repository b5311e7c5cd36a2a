/** The source of in-flight counts: one VM, or all VMs of this or of another data centre. */
interface UsageSource {
  kind: 'vm' | 'ownDataCentre' | 'otherDataCentre';
  name: string;
}

export default UsageSource;
