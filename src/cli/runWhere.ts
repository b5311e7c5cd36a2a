import type Client from './Client';
import type Output from './Output';

/** Runs `baobablink where`: what a caller asks. */
export default async function runWhere(
  adapter: string,
  client: Client,
  output: Output,
): Promise<number> {
  const answer = await client.call('GET', `/v1/where?adapter=${encodeURIComponent(adapter)}`);
  if (!answer.ok) {
    output.fail(answer.error);
    return 1;
  }
  const { addresses, validForMs } = answer.value.body as {
    addresses: string[];
    validForMs: number;
  };
  if (output.json) {
    output.print(JSON.stringify(answer.value.body));
  } else {
    output.print(addresses.join('\n'));
    output.print(`(valid for ${validForMs / 1000} s)`);
  }
  return addresses.length > 0 ? 0 : 1;
}
