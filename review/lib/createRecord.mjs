import { writeFile } from 'node:fs/promises';

/** Creates a record of what was sent, answered and run, in milliseconds since its creation. */
export default function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  const now = () => performance.now() - startedAt;

  function note(text) {
    lines.push(`${now().toFixed(1).padStart(9)} ${text}`);
  }

  return { now, note, write: () => writeFile(file, `${lines.join('\n')}\n`) };
}
