/**
 * The authenticated sender of a request: a caller of a team, or an operator. An operator without a
 * team has access to the rows of all teams.
 */
type Client =
  | { kind: 'caller'; team: string }
  | { kind: 'operator'; team: string | undefined; role: 'reader' | 'editor' };

export default Client;
