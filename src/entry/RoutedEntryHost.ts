import type EngineControl from '../engines/EngineControl';
import type Log from '../events/Log';
import type AnswerHead from '../gateway/AnswerHead';
import type Call from '../gateway/Call';
import type Order from '../gateway/Order';
import type Change from '../keyValue/Change';
import type ChangeFeed from '../keyValue/ChangeFeed';
import type KeyValue from '../keyValue/KeyValue';
import type Message from '../mesh/Message';
import type Time from '../shared/Time';
import type createConnections from '../upstream/createConnections';
import type Reading from './Reading';

/** Everything outside an entry VM that routes by a manifest. */
interface RoutedEntryHost extends Time {
  keyValue: ChangeFeed &
    Pick<KeyValue, 'transact' | 'grantLease' | 'keepLeaseAlive' | 'revokeLease'>;
  engines: EngineControl;
  connections: Pick<ReturnType<typeof createConnections>, 'send' | 'getOpenCount'>;
  /** Says what a changed key means. */
  read(change: Change): Reading;
  /** Writes a request for an upstream. */
  encode(
    call: Call,
    order: Order,
  ): { method: string; path: string; headers: string[]; body: Buffer | undefined };
  readHead(status: number, headers: Record<string, string | string[] | undefined>): AnswerHead;
  send(to: string, message: Message): boolean;
  redial(to: string): void;
  setPeers(addresses: string[]): void;
  /** A number from 0 to 1. */
  random(): number;
  getTimeOfDay(): number;
  getNonce(): string;
  log: Log;
}

export default RoutedEntryHost;
