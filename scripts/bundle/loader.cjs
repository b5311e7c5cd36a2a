'use strict';

// Runs the bundle that follows in a comment of this file, with V8's compile cache beside the file if it
// was written for the same bundle, Node.js version and architecture. Compiling takes half of a start.
const { readFileSync } = require('node:fs');
const vm = require('node:vm');

const BUNDLE_HASH = '$BUNDLE_HASH$';
const CACHE_FILE = `${__filename}.${process.version}-${process.arch}.cache`;
const BUNDLE_START = ['/', '*BUNDLE\n'].join('');
const BUNDLE_END = ['\n*', '/'].join('');
/** Stands for the characters that would end the comment. */
const ESCAPED_END = '*\u0001/';

const text = readFileSync(__filename, 'latin1');
const code = text
  .slice(text.indexOf(BUNDLE_START) + BUNDLE_START.length, text.lastIndexOf(BUNDLE_END))
  .replaceAll(ESCAPED_END, '*/');
const script = new vm.Script(
  `(function (exports, require, module, __filename, __dirname) {${code}\n})`,
  { filename: __filename, cachedData: tryReadCache() },
);
script.runInThisContext()(module.exports, require, module, __filename, __dirname);

/** Returns the cached data; V8 checks it once more and ignores it if it does not fit. */
function tryReadCache() {
  try {
    const cache = readFileSync(CACHE_FILE);
    const isOwn = cache.toString('latin1', 0, BUNDLE_HASH.length) === BUNDLE_HASH;
    return isOwn ? cache.subarray(BUNDLE_HASH.length) : undefined;
  } catch {
    // Without a cache, the bundle is compiled as usual.
    return undefined;
  }
}
