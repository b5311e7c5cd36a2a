/**
 * Runs the scenario files on the command line (`npm run scenario -- FILE…`). Exits with 0 only if all
 * pass. `--events` prints the events of the VMs as well.
 */
import { readFileSync } from 'node:fs';
import parseScenario from './parseScenario';
import runScenario from './runScenario';

async function main(): Promise<number> {
  const args = process.argv.slice(2);
  const files = args.filter((arg) => !arg.startsWith('--'));
  if (files.length === 0) {
    process.stderr.write('usage: npm run scenario -- FILE… [--events]\n');
    return 2;
  }
  let failedCount = 0;

  for (const file of files) {
    const result = await runScenario(parseScenario(file, readFileSync(file, 'utf8')));
    failedCount += result.failures.length > 0 ? 1 : 0;
    process.stdout.write(`${result.failures.length === 0 ? 'holds' : 'RED  '} ${file}\n`);
    result.failures.forEach((failure) => process.stdout.write(`  ${failure}\n`));
    if (args.includes('--events')) {
      process.stdout.write(`${result.events.join('\n')}\n`);
    }
  }
  return failedCount === 0 ? 0 : 1;
}

main().then((code) => process.exit(code));
