import type Settings from './Settings';

const SECRETS = new Set(['clusterKey', 'operatorToken']);

/** Returns the settings for display, with each secret replaced by `(hidden)`. */
export default function getRedactedSettings(settings: Settings): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(settings).map(([name, value]) => [
      name,
      SECRETS.has(name) && value !== undefined ? '(hidden)' : value,
    ]),
  );
}
