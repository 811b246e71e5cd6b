#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
# timeout signals its process group, which the processes under test belong to.
PYTHONPATH=../common PYTHONDONTWRITEBYTECODE=1 timeout -k 4 114 /usr/bin/python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
