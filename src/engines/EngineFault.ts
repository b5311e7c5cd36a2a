/**
 * The reason why a command was not executed or may not have been, or why a report was not read.
 * `conflict`: the engine has a different command count than expected, or is busy. `otherUpstream`:
 * a process with another id responded. `refused`: the engine rejected the command, or its report is
 * malformed. `notSent`: no connection was made. `noAnswer`: the command may have been accepted, or
 * be executed seconds later.
 */
type EngineFault =
  | { kind: 'conflict' }
  | { kind: 'otherUpstream' }
  | { kind: 'refused'; reason: string }
  | { kind: 'notSent'; reason: string }
  | { kind: 'noAnswer'; reason: string };

export default EngineFault;
