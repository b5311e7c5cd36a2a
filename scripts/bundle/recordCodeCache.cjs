'use strict';

// Loaded with `node --require` before a bundle: writes V8's compile cache of the functions that have
// run beside the bundle when the process exits. The bundle itself never writes.
const { createHash } = require('node:crypto');
const { renameSync, writeFileSync } = require('node:fs');
const v8 = require('node:v8');
const vm = require('node:vm');

const { Script } = vm;
// Functions that have not run for some time would be left out of the cache.
v8.setFlagsFromString('--no-flush-bytecode');

vm.Script = class extends Script {
  constructor(source, options) {
    super(source, { ...options, cachedData: undefined });
    process.once('exit', () => {
      // V8 accepts a cache only under the flags under which it was created.
      v8.setFlagsFromString('--flush-bytecode');
      const hash = createHash('sha256').update(source, 'latin1').digest('hex');
      const file = `${options.filename}.${process.version}-${process.arch}.cache`;
      const partFile = `${file}.${process.pid}`;
      writeFileSync(
        partFile,
        Buffer.concat([Buffer.from(hash, 'latin1'), this.createCachedData()]),
      );
      renameSync(partFile, file);
    });
  }
};
