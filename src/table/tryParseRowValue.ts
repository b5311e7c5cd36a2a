import { match } from 'ts-pattern';
import type { z } from 'zod';
import type Result from '../shared/Result';
import AdapterRow from './AdapterRow';
import type Row from './Row';
import type TableKind from './TableKind';
import TeamRow from './TeamRow';
import UpstreamRow from './UpstreamRow';

/**
 * Validates the value of a row. Returns it with defaults filled in, or the list of validation
 * errors, each in the form `field: reason`.
 */
export default function tryParseRowValue(
  kind: TableKind,
  input: unknown,
): Result<Row['value'], string[]> {
  const schema: z.ZodType = match(kind)
    .with('adapters', () => AdapterRow)
    .with('upstreams', () => UpstreamRow)
    .with('teams', () => TeamRow)
    .exhaustive();
  const parsed = schema.safeParse(input);
  if (!parsed.success) {
    const errors = parsed.error.issues.map(
      (issue) => `${issue.path.join('.') || 'row'}: ${issue.message}`,
    );
    return { ok: false, error: errors };
  }
  if (kind === 'adapters') {
    const row = parsed.data as AdapterRow;
    if (!row.versions.some((version) => version.name === row.currentVersion)) {
      return { ok: false, error: ['currentVersion: not among the versions'] };
    }
  }
  return { ok: true, value: parsed.data as Row['value'] };
}
