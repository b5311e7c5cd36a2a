import type { z } from 'zod';
import type Result from '../shared/Result';

/** Returns the variable of a setting: `meshPort` is `BAOBABLINK_MESH_PORT`. */
function getVariable(setting: string): string {
  return `BAOBABLINK_${setting.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}

function getFlag(setting: string): string {
  return `--${setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

const SECRETS = new Set(['clusterKey', 'operatorToken']);

/**
 * Reads settings: flags go before variables. All faults are answered at once, each
 * with the flag, the variable, the value (unless secret) and what is expected.
 */
export default function readSettings<Shape extends z.ZodObject>(
  schema: Shape,
  flags: Record<string, unknown>,
  environment: Record<string, string | undefined>,
): Result<z.infer<Shape>, string[]> {
  const input = Object.fromEntries(
    Object.keys(schema.shape)
      .map((name) => [name, flags[name] ?? environment[getVariable(name)]])
      .filter(([, value]) => value !== undefined && value !== ''),
  );
  const parsed = schema.safeParse(input);
  const faults = (parsed.error?.issues ?? []).map((issue) => {
    const name = String(issue.path[0]);
    const value = SECRETS.has(name) ? '(secret)' : JSON.stringify(input[name]);
    const given = input[name] === undefined ? 'is required' : `${value} is refused`;
    return `${getFlag(name)} (${getVariable(name)}): ${given}: ${issue.message}`;
  });
  if ((input.tlsCert === undefined) !== (input.tlsKey === undefined)) {
    faults.push('--tls-cert and --tls-key: give both or neither');
  }
  return parsed.success && faults.length === 0
    ? { ok: true, value: parsed.data }
    : { ok: false, error: faults };
}
