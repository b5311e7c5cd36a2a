import type Log from '../events/Log';
import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type VirtualMachine from '../vmList/VirtualMachine';
import type Clock from '../shared/Clock';
import type EngineClient from '../upstream/EngineClient';
import type ServiceClient from '../upstream/ServiceClient';

/** Everything outside an entry VM: platform, upstreams, links, time and chance. */
interface EntryHost extends Clock {
  keyValue: KeyValue;
  tryGetVmList(): Promise<VirtualMachine[] | undefined>;
  engines: EngineClient;
  services: ServiceClient;
  send(to: string, message: Message): boolean;
  redial(to: string): void;
  setPeers(addresses: string[]): void;
  /** A number from 0 to 1. */
  random(): number;
  /** The time of day in milliseconds; the same on all VMs but for the skew of their clocks. */
  getTimeOfDay(): number;
  /** A text that no other call, here or elsewhere, ever gets. */
  createNonce(): string;
  log: Log;
}

export default EntryHost;
