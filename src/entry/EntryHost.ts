import type Log from '../events/Log';
import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type VirtualMachine from '../vmList/VirtualMachine';
import type BodyAccount from '../requests/BodyAccount';
import type Clock from '../shared/Clock';
import type EngineClient from '../upstream/EngineClient';
import type ServiceClient from '../upstream/ServiceClient';

/**
 * I/O of an entry VM: the key-value service, the platform's list of VMs, upstreams, links to other
 * entry VMs, time and random values.
 */
interface EntryHost extends Clock {
  /** Where bodies count; undefined if they are read without a common limit. */
  bodyAccount?: BodyAccount;
  keyValue: KeyValue;
  /** Returns the platform's list of VMs, or undefined if it is unavailable. */
  tryGetVmList(): Promise<VirtualMachine[] | undefined>;
  engines: EngineClient;
  services: ServiceClient;
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Replaces the link to a VM. */
  redial(to: string): void;
  /** Sets the addresses of the entry VMs to keep links to, and closes the links to others. */
  setPeers(addresses: string[]): void;
  /** Returns a number from 0 to 1. */
  random(): number;
  /** Returns the time of day in milliseconds; it differs between VMs only by clock skew. */
  getTimeOfDay(): number;
  /** Returns a string that no other call, on this VM or another, returns. */
  createNonce(): string;
  log: Log;
}

export default EntryHost;
