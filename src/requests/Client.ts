/** Who sent a request: a caller of a team, or an operator. */
type Client =
  | { kind: 'caller'; team: string }
  | { kind: 'operator'; team: string | undefined; role: 'reader' | 'editor' };

export default Client;
