/** Returns the `--name value` pairs of the command line, with defaults for the absent ones. */
export default function readArguments<Defaults extends Record<string, string>>(
  defaults: Defaults,
): Record<keyof Defaults, string> {
  const tokens = process.argv.slice(2);
  const given = tokens.flatMap((token, index) =>
    token.startsWith('--') ? [[token.slice(2), tokens[index + 1]]] : [],
  );
  return { ...defaults, ...Object.fromEntries(given) };
}
