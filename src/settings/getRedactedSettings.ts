import type Settings from './Settings';

const SECRETS = new Set(['clusterKey', 'operatorToken']);

/** Returns the settings for people to read, with secrets hidden. */
export default function getShownSettings(settings: Settings): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(settings).map(([name, value]) => [
      name,
      SECRETS.has(name) && value !== undefined ? '(hidden)' : value,
    ]),
  );
}
