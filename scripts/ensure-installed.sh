#!/usr/bin/env bash
# Installs the locked packages unless the installed ones match the lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=node_modules/.installed-lock
if [ ! -f "$stamp" ] || ! cmp -s package-lock.json "$stamp"; then
  npm ci --no-audit --no-fund --loglevel=error
  cp package-lock.json "$stamp"
fi
