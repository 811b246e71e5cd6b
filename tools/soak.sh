#!/usr/bin/env bash
# Runs the fault soak with fresh seeds: tools/soak.sh BUILD [RUNS [JOBS [SECONDS]]]
#
# With FOXQUAY_PREVIOUS, the program of another build, hosts change between the two builds.
#
# Prints the violated invariants of each failed run. Its seed reproduces the faults, and the logs
# of its hosts are kept.
set -uo pipefail
build=$1
runs=${2:-50}
jobs=${3:-4}
seconds=${4:-30}
one() {
  output=$("$1/tests/platform/soak/foxquay-soak" --binary "$1/platform/foxquay-platform" \
    ${FOXQUAY_PREVIOUS:+--previous "$FOXQUAY_PREVIOUS"} --seed "$3" --seconds "$2") && { echo "seed $3 kept"; exit 0; }
  echo "$output" | grep -E "^(BROKEN|logs|FAILED|seed)"
  exit 1
}
export -f one
for _ in $(seq "$runs"); do od -An -N4 -tu4 /dev/urandom; done |
  xargs -P "$jobs" -I{} bash -c 'one "$@"' soak "$build" "$seconds" {}
