/** Splits an engine's name for an adapter, `adapter@version#fence`. */
export default function parseEngineName(name: string): { model: string; fence: number } {
  const separator = name.lastIndexOf('#');
  return separator < 0
    ? { model: name, fence: 0 }
    : { model: name.slice(0, separator), fence: Number(name.slice(separator + 1)) };
}
