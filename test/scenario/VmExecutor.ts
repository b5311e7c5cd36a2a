/**
 * Runs the callbacks of one VM (timers, messages, responses). Callbacks of a frozen VM are deferred
 * and run all at once when it thaws; those of a dead VM are dropped.
 */
interface VmExecutor {
  /** Runs the callback now if the VM is running, on thaw if it is frozen, never if it is dead. */
  run(callback: () => void): void;
  isDead(): boolean;
}

export default VmExecutor;
