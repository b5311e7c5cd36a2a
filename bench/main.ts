/** `npm run bench -- --workload FILE [--json]`: runs each given workload under every policy. */
import { readFileSync } from 'node:fs';
import { basename } from 'node:path';
import createValuePolicy from '../src/pool/createValuePolicy';
import formatColumns from '../src/cli/formatColumns';
import runWorkload from './runWorkload';
import Workload from './Workload';

const commandArguments = process.argv.slice(2);
const files = commandArguments.filter((_, index) => commandArguments[index - 1] === '--workload');
if (files.length === 0) {
  process.stderr.write('usage: npm run bench -- --workload FILE [--workload FILE …] [--json]\n');
  process.exit(2);
}
files.forEach((file) => {
  const parsed = Workload.safeParse(JSON.parse(readFileSync(file, 'utf8')));
  if (!parsed.success) {
    parsed.error.issues.forEach((issue) =>
      process.stderr.write(`${file}: ${issue.path.join('.')}: ${issue.message}\n`),
    );
    process.exit(2);
  }
  const result = runWorkload(basename(file, '.json'), parsed.data, createValuePolicy());
  if (commandArguments.includes('--json')) {
    process.stdout.write(`${JSON.stringify(result)}\n`);
    return;
  }
  const names = Object.keys(result.policies);
  const fields = Object.keys(result.policies.baobablink);
  const rows = fields.map((field) => [
    field,
    ...names.map((name) => String(result.policies[name][field as 'answered'])),
  ]);
  process.stdout.write(`${formatColumns([result.workload, ...names], rows)}\n`);
  process.stdout.write(`${result.bound}\n\n`);
});
