/** `npm run scenario -- FILE…`: exit 0 only if all hold. `--events` prints the events. */
import { readFileSync } from 'node:fs';
import parseScenario from './parseScenario';
import runScenario from './runScenario';

async function main(): Promise<number> {
  const words = process.argv.slice(2);
  const files = words.filter((word) => !word.startsWith('--'));
  if (files.length === 0) {
    process.stderr.write('usage: npm run scenario -- FILE… [--events]\n');
    return 2;
  }
  let red = 0;

  for (const file of files) {
    const verdict = await runScenario(parseScenario(file, readFileSync(file, 'utf8')));
    red += verdict.faults.length > 0 ? 1 : 0;
    process.stdout.write(`${verdict.faults.length === 0 ? 'holds' : 'RED  '} ${file}\n`);
    verdict.faults.forEach((fault) => process.stdout.write(`  ${fault}\n`));
    if (words.includes('--events')) {
      process.stdout.write(`${verdict.events.join('\n')}\n`);
    }
  }
  return red === 0 ? 0 : 1;
}

main().then((code) => process.exit(code));
