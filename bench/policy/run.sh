#!/usr/bin/env bash
# Prints the table of docs/measurements.md, which compares the policies with their baselines.
#
# bench/policy/run.sh BUILD [SEED]
set -euo pipefail
build=$1/bench/policy
seed=${2:-20261203}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
# At most three programs at once, as the machine may be shared.
"$build/bench_policy" none "$seed" > "$out/1" &
"$build/bench_policy" fifo "$seed" > "$out/2" &
"$build/bench_policy" no-admission "$seed" > "$out/3" &
wait
"$build/bench_policy_round_robin" none "$seed" > "$out/4" &
"$build/bench_policy_fixed_limit" none "$seed" > "$out/5" &
"$build/bench_policy" no-resume "$seed" > "$out/6" &
wait
echo "seed $seed"
echo
echo "| figure | unit | foxquay | FIFO | no admission | round robin | fixed limit | no resume |"
echo "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |"
awk -F'\t' '
  FNR == 1 { file++ }
  { rows[FNR] = $1 " | " $2; value[file, FNR] = sprintf("%.*f", $3 < 10 ? 2 : 1, $3); n = FNR }
  END {
    for (i = 1; i <= n; i++) {
      line = "| " rows[i]
      for (f = 1; f <= file; f++) line = line " | " value[f, i]
      print line " |"
    }
  }' "$out"/1 "$out"/2 "$out"/3 "$out"/4 "$out"/5 "$out"/6
