import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { expect } from 'chai';

/** Compares lines with `test/baselines/<name>.txt`; `UPDATE_BASELINES=1` overwrites that file. */
export default function compareBaseline(name: string, lines: string[]): void {
  const file = `test/baselines/${name}.txt`;
  const text = `${lines.join('\n')}\n`;
  if (process.env.UPDATE_BASELINES === '1') {
    writeFileSync(file, text);
  }
  expect(existsSync(file), `${file} exists`).to.equal(true);
  expect(text).to.equal(readFileSync(file, 'utf8'));
}
