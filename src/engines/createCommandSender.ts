import type Log from '../events/Log';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type EngineFault from './EngineFault';
import type EngineCommand from './EngineCommand';

/**
 * Maximum number of sends of one command. A command without a response is sent again immediately
 * with the same expected sequence, so that the engine executes it at most once.
 */
const MAX_SENDS = 3;

/**
 * The result of a command. `accepted`: it is being executed or complete. `held`: the engine was
 * already in the wanted state.
 */
type CommandResult = 'accepted' | 'held' | EngineFault['kind'];

interface CommandSenderHost extends Clock {
  sendCommand(
    command: EngineCommand,
    condition: { fence: number; expectedSequence: number },
  ): Promise<Result<'accepted' | 'held', EngineFault>>;
  /** Returns the fencing number of this VM's ownership, or undefined while it may not send. */
  tryGetFence(now: number): number | undefined;
  /**
   * Called once the engine has counted a command that was sent with `sequence`: no other command
   * with the same expected sequence can be executed any more.
   */
  onSequenceAdvanced(sequence: number): void;
  /**
   * Returns whether an earlier command with the same expected sequence has no response yet, so that the
   * engine may have executed that one.
   */
  isOtherUnanswered(sequence: number): boolean;
  countCommand(kind: string, outcome: string): void;
  /** Returns what is logged with each command beside its own fields. */
  describe(): Record<string, number>;
  log: Log;
}

/**
 * Sends commands to one engine, one after the other. Each is conditional on the engine's command
 * count being the one that this owner expects.
 */
export default function createCommandSender(host: CommandSenderHost, engine: string) {
  let sequence = 0;
  /** Command count of the engine when this owner first read its report. */
  let initialSequence: number | undefined;

  /** Sets the command count that the engine reports. */
  function setSequence(reported: number): void {
    sequence = reported;
    initialSequence ??= reported;
  }

  /** Sends a command, and sends it again if no response arrives. */
  async function send(commandName: string, command: EngineCommand): Promise<CommandResult> {
    const maxSends = command.adapter === undefined ? 1 : MAX_SENDS;
    for (let sends = 1; ; sends += 1) {
      const fence = host.tryGetFence(host.now());
      if (fence === undefined) {
        return sends > 1 ? 'noAnswer' : 'notSent';
      }
      const expectedSequence = sequence;
      const response = await host.sendCommand(command, { fence, expectedSequence });
      const result = getResult(commandName, response, sends > 1);
      host.countCommand(commandName, result);
      host.log('engineOrdered', {
        engine,
        order: commandName,
        adapter: command.adapter ?? command.model,
        version: command.version,
        fence,
        expected: expectedSequence,
        outcome: result,
        reason: getReason(response),
        sends,
        ...host.describe(),
      });
      if (isCountedByEngine(commandName, result)) {
        sequence += 1;
        host.onSequenceAdvanced(expectedSequence);
      }
      const isConflict = !response.ok && response.error.kind === 'conflict';
      if (result !== 'noAnswer' || isConflict || sends === maxSends) {
        return result;
      }
    }
  }

  /**
   * Returns the result that a response stands for. A conflict on a retry means that the earlier
   * send was executed: once this owner has advanced the command count, no other VM can advance it. If
   * another command of this owner may have advanced it, neither counts as executed or not.
   */
  function getResult(
    commandName: string,
    response: Result<'accepted' | 'held', EngineFault>,
    isRetry: boolean,
  ): CommandResult {
    if (response.ok) {
      return response.value;
    }
    const hasAdvancedSequence = initialSequence !== undefined && sequence > initialSequence;
    const hasAdvanced =
      response.error.kind === 'conflict' &&
      isRetry &&
      hasAdvancedSequence &&
      commandName !== 'confirm';
    if (!hasAdvanced) {
      return response.error.kind;
    }
    return host.isOtherUnanswered(sequence) ? 'noAnswer' : 'accepted';
  }

  return { setSequence, send, getSequence: () => sequence };
}

function getReason(response: Result<'accepted' | 'held', EngineFault>): string | undefined {
  if (response.ok) {
    return undefined;
  }
  return 'reason' in response.error ? response.error.reason : response.error.kind;
}

/**
 * Returns whether the engine's command count includes a command. A repeated load that is in
 * progress is accepted but not counted; every unload is counted.
 */
function isCountedByEngine(commandName: string, result: CommandResult): boolean {
  return commandName === 'unload'
    ? result === 'accepted' || result === 'held'
    : result === 'accepted' && commandName !== 'confirm';
}
