import type Log from '../events/Log';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type EngineFault from './EngineFault';
import type EngineCommand from './EngineCommand';

/** An order without an answer is sent again at once under the same condition: one at most is carried out. */
const MAX_SENDS = 3;

/** What became of an order: `accepted` is under way or done, `held` needed nothing to be done. */
type CommandResult = 'accepted' | 'held' | EngineFault['kind'];

interface CommandSenderHost extends Clock {
  sendCommand(
    order: EngineCommand,
    by: { fence: number; expectedSequence: number },
  ): Promise<Result<'accepted' | 'held', EngineFault>>;
  /** Fencing number of this VM's ownership, while it may order. */
  tryGetFence(now: number): number | undefined;
  /** An order was counted: no other one that was sent under `sequence` can be carried out. */
  onCounted(sequence: number): void;
  countCommand(kind: string, outcome: string): void;
  log: Log;
}

/**
 * Sends orders to one engine, one after the other, each on the condition that the engine has
 * accepted as many as this owner knows of.
 */
export default function createCommandSender(host: CommandSenderHost, engine: string) {
  let sequence = 0;
  /** Orders that the engine had accepted when this owner first read it. */
  let firstSequence: number | undefined;

  /** Takes the count that the engine reports. */
  function learn(reported: number): void {
    sequence = reported;
    firstSequence ??= reported;
  }

  /** Sends an order, again where no answer comes. */
  async function send(name: string, order: EngineCommand): Promise<CommandResult> {
    const maxSends = order.adapter === undefined ? 1 : MAX_SENDS;
    for (let sends = 1; ; sends += 1) {
      const fence = host.tryGetFence(host.now());
      if (fence === undefined) {
        return sends > 1 ? 'noAnswer' : 'notSent';
      }
      const expectedSequence = sequence;
      const outcome = await host.sendCommand(order, { fence, expectedSequence });
      const result = getResult(name, outcome, sends > 1);
      host.countCommand(name, result);
      host.log('engineOrdered', {
        engine,
        order: name,
        adapter: order.adapter ?? order.model,
        version: order.version,
        fence,
        expected: expectedSequence,
        outcome: result,
        reason: outcome.ok ? undefined : (outcome.error as { reason?: string }).reason,
        sends,
      });
      if (isCounted(name, result)) {
        sequence += 1;
        host.onCounted(expectedSequence);
      }
      if (result !== 'noAnswer' || sends === maxSends) {
        return result;
      }
    }
  }

  /**
   * What an answer says. A conflict after a try without an answer means that this try was carried
   * out: nobody else knows the count, once this owner has moved it itself.
   */
  function getResult(
    name: string,
    outcome: Result<'accepted' | 'held', EngineFault>,
    isRepeated: boolean,
  ): CommandResult {
    if (outcome.ok) {
      return outcome.value;
    }
    const isOurCount = firstSequence !== undefined && sequence > firstSequence;
    const isDone =
      outcome.error.kind === 'conflict' && isRepeated && isOurCount && name !== 'confirm';
    return isDone ? 'accepted' : outcome.error.kind;
  }

  return { learn, send, getSequence: () => sequence };
}

/** Repeating a load that is under way is accepted but not counted; every unload is counted. */
function isCounted(name: string, result: CommandResult): boolean {
  return name === 'unload'
    ? result === 'accepted' || result === 'held'
    : result === 'accepted' && name !== 'confirm';
}
