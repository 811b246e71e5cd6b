#!/usr/bin/env bash
# Runs the property tests with FUZZ_CASES cases and the seed FUZZ_SEED (random and printed if unset).
set -uo pipefail
build=$1
seed=${FUZZ_SEED:-$RANDOM$RANDOM}
echo "seed=$seed cases=${FUZZ_CASES:-1000}"
status=0
for binary in "$build"/tests/foxquay/*/test_*; do
  [ -x "$binary" ] && [ -f "$binary" ] || continue
  RC_PARAMS="seed=$seed max_success=${FUZZ_CASES:-1000}" "$binary" "[fuzz]" || status=1
done
exit "$status"
