import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type Ownership from './Ownership';
import type Residency from './Residency';

const WITHDRAW_TIMEOUT_MS = 1000;

interface WithdrawalsHost extends Clock {
  send(to: string, message: Message): boolean;
}

/** Withdraws adapters from use at every VM that may hold them, before they are evicted. */
export default function createWithdrawals(
  host: WithdrawalsHost,
  parts: { members: Members; residency: Residency },
  options: { address: string },
) {
  const { members, residency } = parts;
  const withdrawals = new Map<string, { awaited: Set<string>; end: (isFree: boolean) => void }>();

  /** Asks every VM that may hold the adapter to start nothing more on it. */
  async function withdrawEverywhere(
    ownership: Ownership,
    engine: string,
    name: string,
  ): Promise<boolean> {
    const { name: pool, fence } = ownership;
    ownership.sequence += 1;
    const message: Extract<Message, { kind: 'withdraw' }> = {
      kind: 'withdraw',
      pool,
      fence,
      sequence: ownership.sequence,
      engine,
      name,
    };
    if (residency.applyWithdrawal(options.address, message)) {
      return false;
    }
    const others = members.getPossibleHolders(host.now());
    if (others.length === 0) {
      return true;
    }
    const key = `${pool} ${engine} ${name}`;
    return new Promise<boolean>((resolve) => {
      const cancelTimer = host.setTimer(WITHDRAW_TIMEOUT_MS, () => {
        withdrawals.get(key)?.end(false);
      });
      const end = (isFree: boolean) => {
        cancelTimer();
        withdrawals.delete(key);
        resolve(isFree);
      };
      withdrawals.set(key, { awaited: new Set(others), end });
      if (!others.every((other) => host.send(other, message))) {
        end(false);
      }
    });
  }

  function receive(from: string, message: Extract<Message, { kind: 'withdrawn' }>): void {
    const withdrawal = withdrawals.get(`${message.pool} ${message.engine} ${message.name}`);
    if (!withdrawal?.awaited.delete(from)) {
      return;
    }
    if (message.busy) {
      withdrawal.end(false);
    } else if (withdrawal.awaited.size === 0) {
      withdrawal.end(true);
    }
  }

  return { withdrawEverywhere, receive };
}
