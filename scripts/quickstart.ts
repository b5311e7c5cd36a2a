/**
 * Demonstrates the product on stand-ins: table edits, chats, a call that runs once under its key, and
 * a VM failure. The trial then runs until Ctrl-C; `--once` stops it after the checks.
 */
import { execFileSync } from 'node:child_process';
import createTrial from './createTrial';

const VM_COUNT = 8;
const ADAPTERS = ['lace-1', 'lace-2', 'lace-3'];
const isOnce = process.argv.includes('--once');

execFileSync('bash', ['scripts/build.sh'], { stdio: 'inherit' });
const trial = createTrial({ binary: ['dist/baobablink'], vms: VM_COUNT });
let failures = 0;

function check(isPassed: boolean, text: string): void {
  failures += isPassed ? 0 : 1;
  process.stdout.write(`${isPassed ? 'ok  ' : 'FAIL'} ${text}\n`);
}

function runBinary(commandArguments: string[], token: string): string {
  try {
    return execFileSync('dist/baobablink', commandArguments, {
      encoding: 'utf8',
      env: { ...process.env, BAOBABLINK_URL: trial.getVmUrl(1), BAOBABLINK_TOKEN: token },
    });
  } catch (error) {
    return `failed: ${(error as Error).message}`;
  }
}

async function runSteps(): Promise<void> {
  await trial.fillTable(20);
  const set = runBinary(['table', 'set', 'lace-1', 'weight=2', '--json'], trial.operatorToken);
  check(set.includes('"weight":2'), `table set lace-1 weight=2: ${set.trim().slice(0, 60)}…`);
  const { revision } = JSON.parse(set) as { revision: number };
  const inForce = await waitInForce(revision);
  check(inForce, `revision ${revision} is in force on all ${VM_COUNT} VMs`);
  const addresses = await waitForAddresses();
  check(addresses.length === VM_COUNT, `where lace-1: ${addresses.slice(0, 3).join(', ')}, …`);

  for (const adapter of ADAPTERS) {
    const response = await trial.chat(`http://${addresses[0]}`, `${adapter}@v1`);
    const isPassed = response.finished && response.models.join() === `${adapter}@v1`;
    const seen = isPassed ? response.text : `${response.status} ${response.raw.slice(0, 300)}`;
    check(isPassed, `chat with ${adapter}@v1 ran on ${response.models.join()}:${seen}`);
  }
  const other = await trial.chat(`http://${addresses.at(-1)}`, 'lace-1');
  check(other.finished, `chat with lace-1 at another VM ran on ${other.models.join()}`);
  await checkIdempotentCall();
  await checkVmFailure();
}

/** Polls until every VM is listed, which can take a while after the start on a busy machine. */
async function waitForAddresses(): Promise<string[]> {
  let addresses: string[] = [];
  for (let tries = 0; tries < 40 && addresses.length < VM_COUNT; tries += 1) {
    const where = runBinary(['where', 'lace-1', '--json'], trial.callerKey);
    ({ addresses } = JSON.parse(where) as { addresses: string[] });
  }
  return addresses;
}

async function waitInForce(revision: number): Promise<boolean> {
  for (let tries = 0; tries < 40; tries += 1) {
    const url = `${trial.getVmUrl(1)}/v1/table/inforce?revision=${revision}`;
    const response = await trial.callAsOperator('GET', url);
    if (response.status === 200 && JSON.parse(response.text).everywhere) {
      return true;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
  }
  return false;
}

async function checkIdempotentCall(): Promise<void> {
  const headers = { 'idempotency-key': 'hold-0001' };
  const body = { hold: 'ivory Chantilly' };
  const url = (index: number) => `${trial.getVmUrl(index)}/v1/services/desk/holds`;
  const first = await trial.callAsCaller('POST', url(1), body, headers);
  const repeat = await trial.callAsCaller('POST', url(2), body, headers);
  const isSame = first.status === 200 && first.text === repeat.text;
  check(isSame, `a hold and its repeat at another VM ran once: ${repeat.text}`);
  const withoutKey = await trial.callAsCaller('POST', url(1), body);
  check(
    withoutKey.status === 400,
    `a hold without a key is refused: ${withoutKey.text.slice(0, 60)}…`,
  );
}

async function checkVmFailure(): Promise<void> {
  await trial.stopChild('vm2', 'SIGKILL');
  const response = await trial.chat(trial.getVmUrl(3), 'lace-2@v1');
  check(response.finished, `vm2 is killed; chat at vm3 ran on ${response.models.join()}`);
}

async function main(): Promise<void> {
  await trial.start();
  await runSteps();
  if (!isOnce) {
    process.stdout.write(
      [
        '',
        'The trial stays up until Ctrl-C. To try:',
        `  curl -s ${trial.getVmUrl(1)}/v1/chat/completions -H 'authorization: Bearer ${trial.callerKey}' \\`,
        `    -d '{"model":"lace-5","max_tokens":12,"messages":[]}'`,
        `  dist/baobablink status --url ${trial.getVmUrl(1)} --token ${trial.operatorToken}`,
        `  curl -s ${trial.getVmUrl(1)}/metrics`,
        '',
      ].join('\n'),
    );
    await new Promise<void>((resolve) => {
      // A terminal also signals the wrapper processes, which forward it; repeats have no effect.
      process.on('SIGINT', () => resolve());
    });
  }
  const failedVms = await trial.stop();
  check(failedVms.length === 0, `every VM stopped gracefully ${failedVms.join(' ')}`);
  process.exit(failures === 0 ? 0 : 1);
}

main().catch(async (error: Error) => {
  process.stderr.write(`${error.stack}\n`);
  ['vm1', 'platform'].forEach((name) => process.stderr.write(trial.getLog(name)));
  await trial.stop();
  process.exit(1);
});
