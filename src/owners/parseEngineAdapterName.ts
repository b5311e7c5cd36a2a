/**
 * Splits `adapter@version#fence`, the name under which an engine holds an adapter, into the model
 * (`adapter@version`) and the fencing number, which is 0 if the name has none.
 */
export default function parseEngineAdapterName(name: string): { model: string; fence: number } {
  const separator = name.lastIndexOf('#');
  return separator < 0
    ? { model: name, fence: 0 }
    : { model: name.slice(0, separator), fence: Number(name.slice(separator + 1)) };
}
