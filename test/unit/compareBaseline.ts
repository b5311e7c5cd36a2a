import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { expect } from 'chai';

/** Compares output with the recorded one; `UPDATE_BASELINES=1` records it anew. */
export default function compareBaseline(name: string, lines: string[]): void {
  const file = `test/baselines/${name}.txt`;
  const text = `${lines.join('\n')}\n`;
  if (process.env.UPDATE_BASELINES === '1') {
    writeFileSync(file, text);
  }
  expect(existsSync(file), `${file} is recorded`).to.equal(true);
  expect(text).to.equal(readFileSync(file, 'utf8'));
}
