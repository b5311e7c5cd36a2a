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
import type createConnections from '../upstream/createConnections';
import type DecodedChange from './DecodedChange';

/** Everything outside an entry VM that routes by a manifest. */
interface RoutedEntryHost extends Clock {
  keyValue: ChangeFeed &
    Pick<KeyValue, 'transact' | 'grantLease' | 'keepLeaseAlive' | 'revokeLease'>;
  engines: EngineControl;
  connections: Pick<ReturnType<typeof createConnections>, 'send' | 'getOpenCount'>;
  /** Says what a changed key means. */
  decodeChange(change: Change): DecodedChange;
  /** Writes a request for an upstream. */
  encodeRequest(
    call: CallerRequest,
    order: AttemptOptions,
  ): { method: string; path: string; headers: string[]; body: Buffer | undefined };
  decodeHead(status: number, headers: Record<string, string | string[] | undefined>): ResponseHead;
  send(to: string, message: Message): boolean;
  redial(to: string): void;
  setPeers(addresses: string[]): void;
  /** A number from 0 to 1. */
  random(): number;
  getTimeOfDay(): number;
  createNonce(): string;
  log: Log;
}

export default RoutedEntryHost;
