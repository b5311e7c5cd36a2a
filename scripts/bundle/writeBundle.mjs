/** Writes a bundle that runs by way of the loader: `node writeBundle.mjs CODE_FILE BUNDLE_FILE`. */
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';

const [codeFile, bundleFile] = process.argv.slice(2);
const code = readFileSync(codeFile, 'latin1');
if (/[^\0-\x7f]|\x01/.test(code)) {
  throw new Error('the bundle has characters that the loader does not read back');
}
const source = `(function (exports, require, module, __filename, __dirname) {${code}\n})`;
const hash = createHash('sha256').update(source, 'latin1').digest('hex');
const loader = readFileSync(new URL('loader.cjs', import.meta.url), 'latin1');
writeFileSync(
  bundleFile,
  `${loader.replace('$BUNDLE_HASH$', hash)}/*BUNDLE\n${code.replaceAll('*/', '*\u0001/')}\n*/\n`,
  'latin1',
);
