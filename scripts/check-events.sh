#!/usr/bin/env bash
# Fails if docs/EVENTS.md differs from the page generated from the event catalogue.
set -euo pipefail
cd "$(dirname "$0")/.."
node --import tsx scripts/write-events.ts --stdout | cmp - docs/EVENTS.md || {
  echo 'docs/EVENTS.md is stale: run npm run events' >&2
  exit 1
}
