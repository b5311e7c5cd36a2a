/** Time for which an upstream that turned a request away wants no more from this VM. */
type StatedRest =
  { kind: 'none' } | { kind: 'stated'; ms: number } | { kind: 'unreadable'; text: string };

export default StatedRest;
