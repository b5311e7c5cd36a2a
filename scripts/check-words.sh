#!/usr/bin/env bash
# The platform's names stay in its adapter: fails where one stands elsewhere.
set -euo pipefail
cd "$(dirname "$0")/.."
words='kv-(txn|watch|range|key|lease|keep)|Response-Signature|Not-Executed|Expect-(Instance|Version)|Request-Priority|LoraSlots|StaleOk|StoreRevision|\bPathPrefix\b|GapSloMs|op/(config|version)|api/(order|report|resolve|readyz)'
if git grep -nE "$words" -- src bench standins ':!standins/platform'; then
  echo 'These names belong in platform/ only.' >&2
  exit 1
fi
