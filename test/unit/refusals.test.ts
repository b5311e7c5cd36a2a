import createTestCluster from '../scenario/createTestCluster';
import compareBaseline from './compareBaseline';

const CALLER_AUTHORIZATION = 'Bearer caller-key-1';
const OPERATOR_AUTHORIZATION = 'Bearer operator-token-1';
const ROW_VALUE = {
  team: 'other',
  baseModel: 'base',
  versions: [{ name: 'v1' }],
  currentVersion: 'v1',
};

interface RequestCase {
  method: string;
  path: string;
  body?: string;
  headers?: Record<string, string>;
}

const createChatRequest = (body: unknown, headers = {}): RequestCase => ({
  method: 'POST',
  path: '/v1/chat/completions',
  body: typeof body === 'string' ? body : JSON.stringify(body),
  headers: { authorization: CALLER_AUTHORIZATION, ...headers },
});
const createTableRequest = (
  method: string,
  path: string,
  body?: unknown,
  headers = {},
): RequestCase => ({
  method,
  path: `/v1/table/${path}`,
  body: body === undefined ? undefined : JSON.stringify(body),
  headers: { authorization: OPERATOR_AUTHORIZATION, ...headers },
});
const rateLimitedRow = { ...ROW_VALUE, team: 'atelier', limits: { requestsPerSecond: 0.1 } };

const cases: RequestCase[] = [
  { method: 'GET', path: '/nothing' },
  createChatRequest({ model: 'a@v1', max_tokens: 2 }),
  createChatRequest({ model: 'a@v1' }, { authorization: '' }),
  createChatRequest({ model: 'a@v1' }, { authorization: 'Bearer wrong' }),
  createChatRequest('{'),
  createChatRequest({ model: 7 }),
  createChatRequest({ model: 'nobody@v1' }),
  createChatRequest({ model: 'a@v9' }),
  createChatRequest({ model: 'a@v1', messages: ['x'.repeat(100_001)] }),
  createChatRequest({ model: 'a@v1' }, { 'x-deadline-ms': 'soon' }),
  createTableRequest('PUT', 'adapters/theirs', ROW_VALUE),
  createChatRequest({ model: 'theirs@v1' }),
  createTableRequest('PUT', 'adapters/a', { ...ROW_VALUE, team: 'atelier', weight: 2 }),
  createTableRequest('PUT', 'adapters/a', { ...ROW_VALUE, team: 'atelier' }, { 'if-match': '"1"' }),
  createTableRequest('PUT', 'adapters/new', { ...ROW_VALUE, weight: -1 }),
  createTableRequest('GET', 'adapters/none'),
  createTableRequest('DELETE', 'adapters/none'),
  createTableRequest('GET', 'adapters?limit=0'),
  createTableRequest('PATCH', 'adapters', {
    rows: [
      { name: 'b1', value: ROW_VALUE },
      { name: 'b2', value: { team: '' } },
      { name: 'b1', value: ROW_VALUE },
    ],
  }),
  { method: 'GET', path: '/v1/table/adapters', headers: { authorization: CALLER_AUTHORIZATION } },
  createTableRequest('PUT', 'adapters/limited', rateLimitedRow),
  createChatRequest({ model: 'limited@v1', max_tokens: 1 }),
  createChatRequest({ model: 'limited@v1', max_tokens: 1 }),
  {
    method: 'POST',
    path: '/v1/services/desk/x',
    body: '1',
    headers: { authorization: CALLER_AUTHORIZATION },
  },
  { method: 'GET', path: '/v1/services/none/x', headers: { authorization: CALLER_AUTHORIZATION } },
  {
    method: 'GET',
    path: '/v1/where?adapter=none',
    headers: { authorization: CALLER_AUTHORIZATION },
  },
  { method: 'GET', path: '/v1/where?adapter=a', headers: { authorization: CALLER_AUTHORIZATION } },
  { method: 'GET', path: '/readyz' },
];

/**
 * Compares the response to each case with a baseline of two lines: the request, then the status and
 * the error code with its details, or the body.
 */
describe('HTTP responses', () => {
  it('match the baseline', async () => {
    const cluster = createTestCluster();
    cluster.addEngine('e1', { slots: 4, checksFencing: true });
    cluster.startVm('vm1');
    await cluster.clock.advance(6000);
    await cluster.fillTable(new Map([['a', ['v1', 'v2']]]), new Map([['e1', true]]));
    await cluster.clock.advance(6000);
    const lines: string[] = [];

    for (const { method, path, body, headers } of cases) {
      const request = new Request(`http://vm1${path}`, { method, body, headers });
      let response: Response | undefined;
      Promise.resolve(cluster.vms.get('vm1')!.entry.fetch(request)).then((received) => {
        response = received;
      });
      await cluster.clock.advance(9000);
      lines.push(`${method} ${path} ${(body ?? '').slice(0, 60)}`);
      lines.push(`  ${response!.status} ${formatBody(await response!.text())}`);
    }
    compareBaseline('refusals', lines);
  });
});

function formatBody(text: string): string {
  const body = JSON.parse(text) as { error?: { code: string; ran: string; retryAfterMs: number } };
  if (!body.error) {
    return text.slice(0, 160);
  }
  const { code, ran, retryAfterMs } = body.error;
  return `${code} ran=${ran}${retryAfterMs > 0 ? ` retryAfterMs=${retryAfterMs}` : ''}`;
}
