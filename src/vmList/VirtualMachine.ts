/** One entry of the platform's list of VMs. The list lags behind what is so. */
interface VirtualMachine {
  /** `ip:port` of what runs there. */
  address: string;
  role: 'entry' | 'upstream';
  state: 'live' | 'leaving';
}

export default VirtualMachine;
