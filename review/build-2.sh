#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are plain Node.js programs without dependencies, which
# the scripts start as they are; there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
