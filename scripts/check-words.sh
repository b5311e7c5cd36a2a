#!/usr/bin/env bash
# Fails if a name of the platform's interfaces occurs outside platform/ and its stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
words='kv-(txn|watch|range|key|lease|keep)|Response-Signature|Not-Executed|Expect-(Instance|Version)|Request-Priority|LoraSlots|StaleOk|StoreRevision|\bPathPrefix\b|GapSloMs|op/(config|version)|api/(order|report|resolve|readyz)'
if git grep -nE "$words" -- src bench standins ':!standins/platform'; then
  echo 'These names belong in platform/ only.' >&2
  exit 1
fi
