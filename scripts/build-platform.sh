#!/usr/bin/env bash
# Bundles the product into target/baobablink.cjs, which the deployment file starts. With --record, also
# writes V8's compile cache beside it, from a short trial.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-installed.sh >&2
mkdir -p target
node_modules/.bin/esbuild src/main.ts --bundle --minify --platform=node --format=cjs \
  --target=node20 --external:cbor-extract --log-level=warning --outfile=target/baobablink.code.cjs \
  --legal-comments=none \
  --alias:node:assert=./scripts/bundle/assert.cjs \
  --define:import.meta.url=bundleUrl \
  '--define:process.env.CBOR_NATIVE_ACCELERATION_DISABLED="true"' \
  '--define:process.env.ROARR_LOG="true"' \
  '--banner:js=const bundleUrl = require("node:url").pathToFileURL(__filename).href;'
node scripts/bundle/writeBundle.mjs target/baobablink.code.cjs target/baobablink.cjs
if [ "${1:-}" = --record ]; then
  node_modules/.bin/tsx scripts/bundle/recordTrial.ts target/baobablink.cjs >&2 ||
    echo 'no compile cache was written; the product runs without' >&2
fi
