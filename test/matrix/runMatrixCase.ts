import parseScenario from '../scenario/parseScenario';
import runScenario from '../scenario/runScenario';

/**
 * `held`: the step was answered whole. `refused safely`: it was refused, or cut with its VM, and
 * nothing that must always hold was broken. `red`: something was.
 */
interface CaseVerdict {
  verdict: 'held' | 'refused safely' | 'red';
  faults: string[];
}

/** Runs one case of the matrix. */
export default async function runMatrixCase(text: string): Promise<CaseVerdict> {
  const { failures: faults, results } = await runScenario(parseScenario('case', text));
  if (faults.length > 0) {
    return { verdict: 'red', faults };
  }
  return { verdict: results.get('step')?.isWhole ? 'held' : 'refused safely', faults };
}
