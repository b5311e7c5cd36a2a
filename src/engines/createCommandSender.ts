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
  countCommand(kind: string, outcome: string): void;
  /** Returns what is logged with each command. */
  describe(): Record<string, number>;
  log: Log;
}

/**
 * Sends commands to one engine, one after the other. Each is conditional on the engine's command
 * count being the one that this owner expects.
 */
export default function createCommandSender(host: CommandSenderHost, engine: string) {
  let sequence = 0;
  /** When this owner last learned that the engine has counted a command. */
  let advancedAt = -Infinity;

  /** Sets the command count that the engine reports. */
  function setSequence(reported: number): void {
    sequence = reported;
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
      const result = getResult(response, sends > 1);
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
        advancedAt = host.now();
        host.onSequenceAdvanced(expectedSequence);
      }
      const isUnanswered = !response.ok && response.error.kind === 'noAnswer';
      if (!isUnanswered || sends === maxSends) {
        return result;
      }
    }
  }

  return {
    setSequence,
    send,
    getSequence: () => sequence,
    getAdvancedAt: () => advancedAt,
  };
}

/**
 * Returns the result that a response stands for. After a send without a response, only an acceptance
 * tells whether the command was executed: a conflict may stem from any other command.
 */
function getResult(
  response: Result<'accepted' | 'held', EngineFault>,
  isRetry: boolean,
): CommandResult {
  if (response.ok) {
    return response.value;
  }
  return isRetry ? 'noAnswer' : response.error.kind;
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
