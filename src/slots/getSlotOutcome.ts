import { match, P } from 'ts-pattern';
import type AttemptOutcome from '../gateway/AttemptOutcome';
import type SlotOutcome from './SlotOutcome';

/** Reasons of this VM not to send a request, which say nothing about the upstream. */
const OWN_REASONS = [
  'noConnection',
  'stopped',
  'blocked',
  'limited',
  'resting',
  'upstreamLeft',
] as const;

/** Returns what the outcome of an attempt says about the slot that it used. */
export default function getSlotOutcome(outcome: AttemptOutcome): SlotOutcome {
  return match<AttemptOutcome, SlotOutcome>(outcome)
    .with({ kind: 'done' }, () => 'done')
    .with({ kind: 'failed' }, () => 'failed')
    .with({ kind: 'notRun', reason: 'full' }, () => 'full')
    .with({ kind: P.union('notRun', 'refused') }, () => 'unsent')
    .with({ kind: 'notSent', reason: P.union(...OWN_REASONS) }, () => 'unsent')
    .with({ kind: 'notSent' }, () => 'unreachable')
    .with({ kind: P.union('lost', 'broken') }, () => 'lost')
    .with({ kind: P.union('silent', 'deadline', 'stopped', 'callerLeft') }, () => 'aborted')
    .exhaustive();
}
