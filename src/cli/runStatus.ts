import type Client from './Client';
import formatColumns from './formatColumns';
import type Output from './Output';

interface Status {
  address: string;
  tableRevision: number;
  members: {
    address: string;
    state: string;
    heard: boolean;
    tableRevision: number;
    inFlight: number;
  }[];
  pools: {
    pool: string;
    owner: string;
    fence: number;
    engines: { engine: string; names: string[]; running: number }[];
  }[];
}

/** Runs `baobablink status`: members, owners, residency, and the table's revision where. */
export default async function runStatus(client: Client, output: Output): Promise<number> {
  const answer = await client.call('GET', '/v1/status');
  if (!answer.ok) {
    output.fail(answer.error);
    return 1;
  }
  if (output.json) {
    output.print(JSON.stringify(answer.value.body));
    return 0;
  }
  const status = answer.value.body as Status;
  output.print(`answered by ${status.address}, table revision ${status.tableRevision}\n`);
  output.print(
    formatColumns(
      ['VM', 'STATE', 'HEARD', 'REVISION', 'IN FLIGHT'],
      status.members.map((member) => [
        member.address,
        member.state,
        member.heard ? 'yes' : 'no',
        String(member.tableRevision),
        String(member.inFlight),
      ]),
    ),
  );
  output.print('');
  output.print(
    formatColumns(
      ['POOL', 'OWNER', 'FENCE', 'ENGINE', 'RUNNING', 'ADAPTERS'],
      status.pools.flatMap(({ pool, owner, fence, engines }) =>
        engines.map((engine) => [
          pool,
          owner,
          String(fence),
          engine.engine,
          String(engine.running),
          engine.names.map((name) => name.split('#')[0]).join(' '),
        ]),
      ),
    ),
  );
  return 0;
}
