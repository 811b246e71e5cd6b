#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs of the
# standard library (review/common3), so there is nothing to compile; this checks
# that the interpreter, a package of the deploy file, can read them.
set -eu
cd "$(dirname "$0")"
for file in common3/*.py 1[1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
