#!/usr/bin/env bash
# Bundles the product into target/baobablink.cjs, which the deployment file starts.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-installed.sh >&2
mkdir -p target
node_modules/.bin/esbuild src/main.ts --bundle --minify --platform=node --format=cjs \
  --target=node20 --external:cbor-extract --log-level=warning --outfile=target/baobablink.cjs \
  --define:import.meta.url=bundleUrl \
  '--define:process.env.CBOR_NATIVE_ACCELERATION_DISABLED="true"' \
  '--define:process.env.ROARR_LOG="true"' \
  '--banner:js=const bundleUrl = require("node:url").pathToFileURL(__filename).href;'
