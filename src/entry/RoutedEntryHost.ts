import type createHeldBytes from '../clientLimits/createHeldBytes';
import type EngineControl from '../engines/EngineControl';
import type Log from '../events/Log';
import type ResponseHead from '../gateway/ResponseHead';
import type CallerRequest from '../gateway/CallerRequest';
import type AttemptOptions from '../gateway/AttemptOptions';
import type Change from '../keyValue/Change';
import type ChangeFeed from '../keyValue/ChangeFeed';
import type KeyValue from '../keyValue/KeyValue';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type ProbeOutcome from '../upstream/ProbeOutcome';
import type ResponseHandler from '../upstream/ResponseHandler';
import type createConnections from '../upstream/createConnections';
import type DecodedChange from './DecodedChange';

/** I/O of an entry VM that routes by a manifest. */
interface RoutedEntryHost extends Clock {
  /** The account of held bytes, if responses that are buffered count in it. */
  held?: ReturnType<typeof createHeldBytes>;
  keyValue: ChangeFeed &
    Pick<KeyValue, 'transact' | 'grantLease' | 'keepLeaseAlive' | 'revokeLease'>;
  engines: EngineControl;
  connections: Pick<ReturnType<typeof createConnections>, 'send' | 'getOpenCount'>;
  /** Opens a connection to `address` (`ip:port`), sends nothing on it, and returns how that ended. */
  probe(address: string): Promise<ProbeOutcome>;
  /** Decodes a changed key of the key-value service. */
  decodeChange(change: Change): DecodedChange;
  /** Encodes a caller's request for an upstream. `headers` alternates names and values. */
  encodeRequest(
    callerRequest: CallerRequest,
    options: AttemptOptions,
  ): { method: string; path: string; headers: string[]; body: Buffer | undefined };
  /** Decodes the status and headers of an upstream's response. */
  decodeHead(status: number, headers: Record<string, string | string[] | undefined>): ResponseHead;
  /** Sends a request to another VM; returns undefined if no connection is available. */
  forwardRequest(
    vm: string,
    request: CallerRequest,
    handler: ResponseHandler,
  ): { abort(): void; pause(): void; resume(): void } | undefined;
  /** Decodes the head of another VM's response to a request. */
  decodeForwardedHead(
    requestId: string,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): ResponseHead;
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Returns the bytes that wait to be sent, by VM; VMs without any are left out. */
  getQueuedBytes(): ReadonlyMap<string, number>;
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

export default RoutedEntryHost;
