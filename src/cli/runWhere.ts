import type Client from './Client';
import type Output from './Output';

/**
 * Runs `baobablink where`: prints the entry VMs that `/v1/where` returns for an adapter. Returns
 * the exit code: 1 if the call fails or returns no entry VM.
 */
export default async function runWhere(
  adapter: string,
  client: Client,
  output: Output,
): Promise<number> {
  const response = await client.call('GET', `/v1/where?adapter=${encodeURIComponent(adapter)}`);
  if (!response.ok) {
    output.printError(response.error);
    return 1;
  }
  const { addresses, validForMs } = response.value.body as {
    addresses: string[];
    validForMs: number;
  };
  if (output.json) {
    output.print(JSON.stringify(response.value.body));
  } else {
    output.print(addresses.join('\n'));
    output.print(`(valid for ${validForMs / 1000} s)`);
  }
  return addresses.length > 0 ? 0 : 1;
}
