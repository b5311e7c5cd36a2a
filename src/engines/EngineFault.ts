/**
 * Why an order had no effect, or may have had one.
 * `conflict`: the engine's order count is another one, or it is busy. `noAnswer`: it may have been
 * accepted or be carried out seconds later.
 */
type EngineFault =
  | { kind: 'conflict' }
  | { kind: 'otherUpstream' }
  | { kind: 'refused'; reason: string }
  | { kind: 'notSent'; reason: string }
  | { kind: 'noAnswer'; reason: string };

export default EngineFault;
