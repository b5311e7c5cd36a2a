#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are plain Node.js modules and need no compilation.
set -euo pipefail
cd "$(dirname "$0")/.."
find review -name '*.mjs' -print0 | xargs -0 -n 1 node --check
