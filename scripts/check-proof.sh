#!/usr/bin/env bash
# Fails when docs/PROOF.md is not what the fault matrix and the mutations give.
set -euo pipefail
cd "$(dirname "$0")/.."
node --import tsx scripts/write-proof.ts --stdout > .proof.log
cmp .proof.log docs/PROOF.md || {
  diff .proof.log docs/PROOF.md | head -20 >&2
  echo 'docs/PROOF.md is stale: run npx tsx scripts/write-proof.ts' >&2
  exit 1
}
if grep -q 'RED\|HOLDS without\|NOT RUN' docs/PROOF.md; then
  echo 'docs/PROOF.md has red cases' >&2
  exit 1
fi
