#!/usr/bin/env bash
# Fails when docs/EVENTS.md is not what the event catalogue gives.
set -euo pipefail
cd "$(dirname "$0")/.."
node --import tsx scripts/write-events.ts --stdout | cmp - docs/EVENTS.md || {
  echo 'docs/EVENTS.md is stale: run npm run events' >&2
  exit 1
}
