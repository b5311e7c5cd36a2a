import parseScenario from '../scenario/parseScenario';
import runScenario from '../scenario/runScenario';

/**
 * `held`: the step's request got a complete response. `refused safely`: it was refused or its
 * connection was closed, and no invariant was violated. `red`: an invariant was violated or a check
 * of the scenario failed.
 */
interface CaseVerdict {
  verdict: 'held' | 'refused safely' | 'red';
  violations: string[];
}

/** Runs the scenario of one case of the matrix. */
export default async function runMatrixCase(text: string): Promise<CaseVerdict> {
  const { failures: violations, results } = await runScenario(parseScenario('case', text));
  if (violations.length > 0) {
    return { verdict: 'red', violations };
  }
  return {
    verdict: results.get('step')?.isWhole ? 'held' : 'refused safely',
    violations,
  };
}
