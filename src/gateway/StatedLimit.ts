/**
 * What a response says about the requests a second that its upstream takes from all VMs together.
 * `unreadable`: it states a limit that is no number.
 */
type StatedLimit =
  { kind: 'none' } | { kind: 'stated'; perSecond: number } | { kind: 'unreadable'; text: string };

export default StatedLimit;
