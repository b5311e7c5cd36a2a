#!/usr/bin/env bash
# Runs all tests. In CI those named in KNOWN-RED.txt are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PWD/node_modules/.bin:$PATH"
if [ "${CI:-}" = true ] && grep -q '^test: ' KNOWN-RED.txt 2>/dev/null; then
  echo 'Known red, passed over:'
  sed -n 's/^test: /  /p' KNOWN-RED.txt
  pattern=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/[][().*+?^$|\\]/\\&/g' | paste -sd '|')
  exec mocha --grep "$pattern" --invert "$@"
fi
exec mocha "$@"
