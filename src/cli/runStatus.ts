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

/**
 * Runs `baobablink status`: prints each member with its table revision, and each pool with its
 * owner, engines and resident adapters. Returns the exit code.
 */
export default async function runStatus(client: Client, output: Output): Promise<number> {
  const response = await client.call('GET', '/v1/status');
  if (!response.ok) {
    output.printError(response.error);
    return 1;
  }
  if (output.json) {
    output.print(JSON.stringify(response.value.body));
    return 0;
  }
  const status = response.value.body as Status;
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
