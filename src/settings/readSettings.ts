import type { z } from 'zod';
import type Result from '../shared/Result';

/** Returns the environment variable of a setting: `BAOBABLINK_MESH_PORT` for `meshPort`. */
function getVariableName(setting: string): string {
  return `BAOBABLINK_${setting.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}

function getFlagName(setting: string): string {
  return `--${setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

const SECRETS = new Set(['clusterKey', 'operatorToken']);

/**
 * Reads settings from flags and environment variables. A flag takes precedence over its variable.
 * The error lists every invalid setting with its flag, its variable, its value (unless secret) and
 * what is expected.
 */
export default function readSettings<Shape extends z.ZodObject>(
  schema: Shape,
  flags: Record<string, unknown>,
  environment: Record<string, string | undefined>,
): Result<z.infer<Shape>, string[]> {
  const input = Object.fromEntries(
    Object.keys(schema.shape)
      .map((name) => [name, flags[name] ?? environment[getVariableName(name)]])
      .filter(([, value]) => value !== undefined && value !== ''),
  );
  const parsed = schema.safeParse(input);
  const messages = (parsed.error?.issues ?? []).map((issue) => {
    const name = String(issue.path[0]);
    const value = SECRETS.has(name) ? '(secret)' : JSON.stringify(input[name]);
    const problem = input[name] === undefined ? 'is required' : `${value} is refused`;
    return `${getFlagName(name)} (${getVariableName(name)}): ${problem}: ${issue.message}`;
  });
  if ((input.tlsCert === undefined) !== (input.tlsKey === undefined)) {
    messages.push('--tls-cert and --tls-key: give both or neither');
  }
  return parsed.success && messages.length === 0
    ? { ok: true, value: parsed.data }
    : { ok: false, error: messages };
}
