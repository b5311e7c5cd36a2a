/** Generates docs/PROOF.md by running the fault matrix and the mutations; `--stdout` prints it. */
import { readFileSync, writeFileSync } from 'node:fs';
import matrixSteps from '../test/matrix/matrixSteps';
import runMatrix from '../test/matrix/runMatrix';
import runMutations from '../test/matrix/runMutations';

const VERDICT_LABELS = { held: 'held', 'refused safely': 'refused', red: 'RED' } as const;

async function main(): Promise<void> {
  const { single, pairs } = await runMatrix();
  const mutationResults = runMutations();
  const names = [...new Set(single.map(({ faultNames }) => faultNames))];
  const getCell = (step: string, fault: string) =>
    single
      .filter((one) => one.step === step && one.faultNames === fault)
      .map(({ verdict }) => VERDICT_LABELS[verdict])
      .join(' / ');
  const steps = matrixSteps.map(({ name }) => name);
  const count = (results: typeof single, verdict: string) =>
    results.filter((one) => one.verdict === verdict).length;
  const getSummary = (results: typeof single) =>
    `${results.length} cases: ${count(results, 'held')} held, ${count(results, 'refused safely')} refused safely, ${count(results, 'red')} red`;
  const redResults = [...single, ...pairs].filter(({ verdict }) => verdict === 'red');
  const page = [
    readFileSync('docs/PROOF-introduction.md', 'utf8').trim(),
    '',
    '## Every fault at every step',
    '',
    `${getSummary(single)}. A cell gives the fault before / during / after the step. *Held*: the`,
    'request of the step got its whole answer. *Refused*: it was refused, or cut together with the',
    'VM that was killed, and no invariant was broken; the system worked again afterwards.',
    '',
    `| fault | ${steps.join(' | ')} |`,
    `| --- |${steps.map(() => ' --- |').join('')}`,
    ...names.map((fault) => `| ${fault} | ${steps.map((s) => getCell(s, fault)).join(' | ')} |`),
    '',
    '## Pairs of faults',
    '',
    `${getSummary(pairs)}; drawn from seed 20261204.`,
    '',
    '## Red cases',
    '',
    ...(redResults.length === 0
      ? ['None.']
      : redResults.map(
          (result) =>
            `- ${result.step}, ${result.faultNames}, ${result.phases}: ${result.violations}`,
        )),
    '',
    '## Without its mechanism',
    '',
    'Each scenario below holds in CI. On a copy from which the mechanism was taken away it saw:',
    '',
    '| mechanism | scenario | seen without it |',
    '| --- | --- | --- |',
    ...mutationResults.map(
      ({ mechanism, scenario, result }) =>
        `| ${mechanism} | ${scenario} | ${result.replaceAll('|', '\\|')} |`,
    ),
    '',
  ].join('\n');
  if (process.argv.includes('--stdout')) {
    process.stdout.write(page);
  } else {
    writeFileSync('docs/PROOF.md', page);
  }
}

main();
