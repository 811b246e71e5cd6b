#!/usr/bin/env bash
# Runs clang-tidy on the sources; with arguments after the build folder, on those files only.
#
# A file whose preprocessed input, settings and compiler flags have passed before is not checked
# again; the records are in foxquay-lint in the cache folder of the user.
set -uo pipefail
build=$1
shift
export FOXQUAY_LINT_BUILD=$build
export FOXQUAY_LINT_CACHE=${XDG_CACHE_HOME:-$HOME/.cache}/foxquay-lint
mkdir -p "$FOXQUAY_LINT_CACHE"
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files 'src/*.cc' 'platform/*.cc' 'tests/*.cc' 'bench/*.cc')
fi
printf '%s\n' "${files[@]}" | xargs -r -P "${FOXQUAY_LINT_JOBS:-10}" -n 1 /usr/bin/python3 tools/lint_file.py
