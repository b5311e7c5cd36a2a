// Takes the place of `node:assert` in bundles. Without a message, Node.js quotes the failed expression
// from the source file, which takes seconds for a bundle in one line.
'use strict';

// eslint-disable-next-line n/prefer-node-protocol -- bundles take this file for `node:assert`
const nodeAssert = require('assert');

const MESSAGE = 'an assertion of a library failed';

function assert(value, message = MESSAGE) {
  nodeAssert(value, message);
}

module.exports = Object.assign(assert, nodeAssert, { ok: assert });
