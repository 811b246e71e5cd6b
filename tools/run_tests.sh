#!/usr/bin/env bash
# Runs every test in a build folder and ends with the line "N passed, N failed".
#
# Tests listed in KNOWN-RED.txt (lines that start with "test: ") are not run; their names are
# printed.
set -uo pipefail
build=$1
log=$(mktemp)
trap 'rm -f "$log"' EXIT
exclude=()
if [ -s KNOWN-RED.txt ]; then
  mapfile -t red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
  for name in "${red[@]}"; do
    echo "known failing test, not run: $name"
    escaped=$(printf '%s' "$name" | sed 's/[][\.*^$+?(){}|]/\\&/g')
    exclude+=("^$escaped\$")
  done
fi
arguments=(--test-dir "$build" --output-on-failure --parallel "${FOXQUAY_TEST_JOBS:-6}")
[ "${#exclude[@]}" -gt 0 ] && arguments+=(--exclude-regex "$(IFS='|'; echo "${exclude[*]}")")
ctest "${arguments[@]}" | tee "$log"
status=${PIPESTATUS[0]}
total=$(sed -n 's/.* tests failed out of \([0-9]*\)$/\1/p' "$log" | tail -n 1)
failed=$(sed -n 's/.*, \([0-9]*\) tests failed out of .*/\1/p' "$log" | tail -n 1)
total=${total:-0}
failed=${failed:-0}
[ "$total" -gt 0 ] || status=1
echo "$((total - failed)) passed, $failed failed"
exit "$status"
