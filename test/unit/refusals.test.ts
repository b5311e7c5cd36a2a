import createTestCluster from '../scenario/createTestCluster';
import compareBaseline from './compareBaseline';

const KEY = 'Bearer caller-key-1';
const OPERATOR = 'Bearer operator-token-1';
const ROW = { team: 'other', baseModel: 'base', versions: [{ name: 'v1' }], currentVersion: 'v1' };

interface Case {
  method: string;
  path: string;
  body?: string;
  headers?: Record<string, string>;
}

const chat = (body: unknown, headers = {}): Case => ({
  method: 'POST',
  path: '/v1/chat/completions',
  body: typeof body === 'string' ? body : JSON.stringify(body),
  headers: { authorization: KEY, ...headers },
});
const operate = (method: string, path: string, body?: unknown, headers = {}): Case => ({
  method,
  path: `/v1/table/${path}`,
  body: body === undefined ? undefined : JSON.stringify(body),
  headers: { authorization: OPERATOR, ...headers },
});
const limited = { ...ROW, team: 'atelier', limits: { requestsPerSecond: 0.1 } };

const cases: Case[] = [
  { method: 'GET', path: '/nothing' },
  chat({ model: 'a@v1', max_tokens: 2 }),
  chat({ model: 'a@v1' }, { authorization: '' }),
  chat({ model: 'a@v1' }, { authorization: 'Bearer wrong' }),
  chat('{'),
  chat({ model: 7 }),
  chat({ model: 'nobody@v1' }),
  chat({ model: 'a@v9' }),
  chat({ model: 'a@v1', messages: ['x'.repeat(100_001)] }),
  chat({ model: 'a@v1' }, { 'x-deadline-ms': 'soon' }),
  operate('PUT', 'adapters/theirs', ROW),
  chat({ model: 'theirs@v1' }),
  operate('PUT', 'adapters/a', { ...ROW, team: 'atelier', weight: 2 }),
  operate('PUT', 'adapters/a', { ...ROW, team: 'atelier' }, { 'if-match': '"1"' }),
  operate('PUT', 'adapters/new', { ...ROW, weight: -1 }),
  operate('GET', 'adapters/none'),
  operate('DELETE', 'adapters/none'),
  operate('GET', 'adapters?limit=0'),
  operate('PATCH', 'adapters', {
    rows: [
      { name: 'b1', value: ROW },
      { name: 'b2', value: { team: '' } },
      { name: 'b1', value: ROW },
    ],
  }),
  { method: 'GET', path: '/v1/table/adapters', headers: { authorization: KEY } },
  operate('PUT', 'adapters/limited', limited),
  chat({ model: 'limited@v1', max_tokens: 1 }),
  chat({ model: 'limited@v1', max_tokens: 1 }),
  { method: 'POST', path: '/v1/services/desk/x', body: '1', headers: { authorization: KEY } },
  { method: 'GET', path: '/v1/services/none/x', headers: { authorization: KEY } },
  { method: 'GET', path: '/v1/where?adapter=none', headers: { authorization: KEY } },
  { method: 'GET', path: '/v1/where?adapter=a', headers: { authorization: KEY } },
  { method: 'GET', path: '/readyz' },
];

/** One line a case: what was asked, the status, and the code with what is said beside it. */
describe('HTTP answers', () => {
  it('are as recorded', async () => {
    const world = createTestCluster();
    world.addEngine('e1', { slots: 4, checksFencing: true });
    world.startVm('vm1');
    await world.clock.advance(6000);
    await world.fillTable(new Map([['a', ['v1', 'v2']]]), new Map([['e1', true]]));
    await world.clock.advance(6000);
    const lines: string[] = [];

    for (const { method, path, body, headers } of cases) {
      const request = new Request(`http://vm1${path}`, { method, body, headers });
      let response: Response | undefined;
      Promise.resolve(world.vms.get('vm1')!.entry.fetch(request)).then((answer) => {
        response = answer;
      });
      await world.clock.advance(9000);
      lines.push(`${method} ${path} ${(body ?? '').slice(0, 60)}`);
      lines.push(`  ${response!.status} ${getView(await response!.text())}`);
    }
    compareBaseline('refusals', lines);
  });
});

function getView(text: string): string {
  const body = JSON.parse(text) as { error?: { code: string; ran: string; retryAfterMs: number } };
  if (!body.error) {
    return text.slice(0, 160);
  }
  const { code, ran, retryAfterMs } = body.error;
  return `${code} ran=${ran}${retryAfterMs > 0 ? ` retryAfterMs=${retryAfterMs}` : ''}`;
}
