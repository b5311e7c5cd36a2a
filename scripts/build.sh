#!/usr/bin/env bash
# Bundles the product into one file and builds the single executable dist/baobablink.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PWD/node_modules/.bin:$PATH"
mkdir -p dist
esbuild src/main.ts --bundle --platform=node --format=cjs --target=node20 \
  --external:cbor-extract --log-level=warning --outfile=dist/baobablink.cjs \
  --alias:node:assert=./scripts/bundle/assert.cjs \
  --define:import.meta.url=bundleUrl \
  '--define:process.env.CBOR_NATIVE_ACCELERATION_DISABLED="true"' \
  '--define:process.env.ROARR_LOG="true"' \
  --banner:js='const bundleUrl = require("node:url").pathToFileURL(process.execPath).href;'
cat > dist/sea-config.json <<'J'
{ "main": "dist/baobablink.cjs", "output": "dist/baobablink.blob", "disableExperimentalSEAWarning": true }
J
node --experimental-sea-config dist/sea-config.json >/dev/null 2>&1
cp "$(command -v node)" dist/baobablink.next
chmod u+w dist/baobablink.next
postject dist/baobablink.next NODE_SEA_BLOB dist/baobablink.blob \
  --sentinel-fuse NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2 >/dev/null 2>&1
mv dist/baobablink.next dist/baobablink
for name in keyValue engine service; do
  esbuild "standins/$name.ts" --bundle --platform=node --format=cjs --target=node20 \
    --log-level=warning "--outfile=dist/standins/$name.cjs"
done
