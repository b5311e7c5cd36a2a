/** An entry of the platform's list of VMs. The list lags behind the actual state. */
interface VirtualMachine {
  /** `ip:port` of the service on the VM. */
  address: string;
  role: 'entry' | 'upstream';
  state: 'live' | 'leaving';
}

export default VirtualMachine;
