interface Refusal {
  number: number;
  status: number;
  category: 'request' | 'access' | 'limit' | 'capacity' | 'platform' | 'upstream' | 'table';
  code: string;
  text: string;
}

/** Every refusal that is sent to callers and operators. Other code refers to them by key. */
const refusals = {
  badJson: r(1001, 400, 'request', 'bad_json', 'The body is not valid JSON.'),
  badRequest: r(1002, 400, 'request', 'bad_request', 'A field is missing or not allowed.'),
  oversize: r(1003, 413, 'request', 'oversize', 'The body is larger than the limit.'),
  keyMissing: r(
    1004,
    400,
    'request',
    'idempotency_key_missing',
    'This call may not be repeated: send an Idempotency-Key header.',
  ),
  notFound: r(1005, 404, 'request', 'not_found', 'There is nothing at this path.'),
  slowBody: r(1006, 408, 'request', 'slow_body', 'The body did not arrive in time.'),
  keyReused: r(
    1007,
    422,
    'request',
    'idempotency_key_reused',
    'This Idempotency-Key was used for another call.',
  ),
  unknownAdapter: r(1101, 404, 'request', 'unknown_adapter', 'No adapter has this name.'),
  unknownVersion: r(1102, 404, 'request', 'unknown_version', 'The adapter has no such version.'),
  unknownService: r(1103, 404, 'request', 'unknown_service', 'No service has this name.'),
  unauthenticated: r(1201, 401, 'access', 'unauthenticated', 'Send a valid key or token.'),
  wrongTeam: r(1202, 403, 'access', 'wrong_team', 'The key belongs to another team.'),
  wrongRole: r(1203, 403, 'access', 'wrong_role', 'The token has no editor role.'),
  rateLimited: r(1301, 429, 'limit', 'rate_limited', 'Over the requests allowed in a second.'),
  inFlightLimited: r(
    1302,
    429,
    'limit',
    'in_flight_limited',
    'Over the requests allowed at one time.',
  ),
  queueFull: r(1303, 429, 'limit', 'queue_full', 'Too many requests wait for this adapter.'),
  noCapacity: r(1401, 503, 'capacity', 'no_capacity', 'No engine can take the request.'),
  deadline: r(
    1402,
    503,
    'capacity',
    'deadline',
    'The request can not be started before its deadline.',
  ),
  loadFailed: r(1403, 503, 'capacity', 'load_failed', 'The adapter can not be loaded now.'),
  noOwner: r(1404, 503, 'capacity', 'no_owner', 'No entry VM decides for the engines now.'),
  stopping: r(1405, 503, 'capacity', 'stopping', 'This entry VM is stopping.'),
  isolated: r(
    1501,
    503,
    'platform',
    'isolated',
    'This entry VM can not know that its table is in force.',
  ),
  platformUnavailable: r(
    1502,
    503,
    'platform',
    'platform_unavailable',
    'The call can not be recorded while the platform is out.',
  ),
  upstreamFailed: r(1601, 502, 'upstream', 'upstream_failed', 'The upstream failed.'),
  upstreamSilent: r(1602, 504, 'upstream', 'upstream_silent', 'The upstream did not answer.'),
  outcomeUnknown: r(
    1603,
    409,
    'upstream',
    'outcome_unknown',
    'The call may have run; it is not run again.',
  ),
  callInProgress: r(
    1604,
    409,
    'upstream',
    'call_in_progress',
    'A call with this key is in progress.',
  ),
  rowInvalid: r(1701, 422, 'table', 'row_invalid', 'The row is not valid.'),
  rowMissing: r(1702, 404, 'table', 'row_missing', 'There is no such row.'),
  ifMatchMissing: r(
    1703,
    428,
    'table',
    'if_match_missing',
    'The row exists: send If-Match with its revision.',
  ),
  rowConflict: r(1704, 412, 'table', 'row_conflict', 'The row has another revision.'),
  editUnknown: r(1705, 504, 'table', 'edit_unknown', 'The edit may have been accepted.'),
} satisfies Record<string, Refusal>;

function r(
  number: number,
  status: number,
  category: Refusal['category'],
  code: string,
  text: string,
): Refusal {
  return { number, status, category, code, text };
}

export default refusals;
