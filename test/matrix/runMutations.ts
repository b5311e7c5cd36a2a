import { execFileSync } from 'node:child_process';
import { cpSync, mkdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import mutations from './mutations';

const MUTANT_FOLDER = '.cache/mutant';

/** Runs each scenario on a copy without the mechanism, and returns the first failure of each. */
export default function runMutations(): { mechanism: string; scenario: string; result: string }[] {
  return mutations.map(({ mechanism, file, from, to, scenario }) => {
    rmSync(MUTANT_FOLDER, { recursive: true, force: true });
    mkdirSync(MUTANT_FOLDER, { recursive: true });
    ['src', 'test', 'bench', 'standins', 'package.json', 'tsconfig.json'].forEach((name) =>
      cpSync(name, `${MUTANT_FOLDER}/${name}`, { recursive: true }),
    );
    symlinkSync(resolve('node_modules'), `${MUTANT_FOLDER}/node_modules`);
    const source = readFileSync(`${MUTANT_FOLDER}/${file}`, 'utf8');
    if (!source.includes(from)) {
      return { mechanism, scenario, result: `NOT RUN: the text to replace is not in ${file}` };
    }
    writeFileSync(`${MUTANT_FOLDER}/${file}`, source.replace(from, to));
    return { mechanism, scenario, result: getFirstFailure(scenario) };
  });
}

function getFirstFailure(scenario: string): string {
  const nodeArguments = scenario.endsWith('.test.ts')
    ? ['node_modules/mocha/bin/mocha.js', '--no-config', '--node-option', 'import=tsx', scenario]
    : ['--import', 'tsx', 'test/scenario/main.ts', `test/scenarios/${scenario}.scenario`];
  try {
    execFileSync('node', nodeArguments, { cwd: MUTANT_FOLDER, encoding: 'utf8', stdio: 'pipe' });
    return 'HOLDS without the mechanism';
  } catch (error) {
    const lines = (error as { stdout: string }).stdout.split('\n');
    const failure = lines.find((line) => /\.scenario:|AssertionError/.test(line)) ?? 'red';
    return failure.trim().replace('test/scenarios/', '').slice(0, 110);
  }
}
