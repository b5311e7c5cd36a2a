import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type Ownership from './Ownership';
import type Residency from './Residency';

const WITHDRAW_TIMEOUT_MS = 1000;

interface WithdrawalsHost extends Clock {
  send(to: string, message: Message): boolean;
}

/** Withdraws adapters from use at every VM that may hold grants, before they are evicted. */
export default function createWithdrawals(
  host: WithdrawalsHost,
  parts: { members: Members; residency: Residency },
  options: { address: string },
) {
  const { members, residency } = parts;
  const pendingWithdrawals = new Map<
    string,
    { pendingVms: Set<string>; end: (isUnused: boolean) => void }
  >();

  /**
   * Sends a withdrawal to every VM that may hold grants, which then starts no more requests on the
   * adapter. Returns true once all VMs have confirmed that none of their requests uses it. Returns
   * false if one still uses it, can't be reached or does not reply in time.
   */
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
    const holders = members.getPossibleHolders(host.now());
    if (holders.length === 0) {
      return true;
    }
    const key = `${pool} ${engine} ${name}`;
    return new Promise<boolean>((resolve) => {
      const cancelTimer = host.setTimer(WITHDRAW_TIMEOUT_MS, () => {
        pendingWithdrawals.get(key)?.end(false);
      });
      const end = (isUnused: boolean) => {
        cancelTimer();
        pendingWithdrawals.delete(key);
        resolve(isUnused);
      };
      pendingWithdrawals.set(key, { pendingVms: new Set(holders), end });
      if (!holders.every((holder) => host.send(holder, message))) {
        end(false);
      }
    });
  }

  function handleReply(from: string, message: Extract<Message, { kind: 'withdrawn' }>): void {
    const withdrawal = pendingWithdrawals.get(`${message.pool} ${message.engine} ${message.name}`);
    if (!withdrawal?.pendingVms.delete(from)) {
      return;
    }
    if (message.busy) {
      withdrawal.end(false);
    } else if (withdrawal.pendingVms.size === 0) {
      withdrawal.end(true);
    }
  }

  return { withdrawEverywhere, handleReply };
}
