/** Reads `--name value` pairs of the command line over defaults. */
export default function readArguments<Defaults extends Record<string, string>>(
  defaults: Defaults,
): Record<keyof Defaults, string> {
  const words = process.argv.slice(2);
  const given = words.flatMap((word, index) =>
    word.startsWith('--') ? [[word.slice(2), words[index + 1]]] : [],
  );
  return { ...defaults, ...Object.fromEntries(given) };
}
