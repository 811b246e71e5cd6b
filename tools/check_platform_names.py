#!/usr/bin/python3
"""Checks that the platform's wire names and headers are used only in platform/ and its tests."""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = re.compile(
    r"X-(Hop-Count|Response-Stamp|Expect-Instance|Expect-Version|Not-Executed|Token-Count"
    r"|Prompt-Prefix|Length-Hint|Weight-Versions|Instance-Id|Tenant|Deadline)|At-Server"
    r"|heartbeat_url|handoff_mode|kv_token_bytes|cold_left_ms|/v1/instances|/v1/report\b"
    r"|/v1/order\b|/v1/resolve")
PLACES = ["src", "schema", "tools", "tests/foxquay", "tests/fakes", "bench"]


def main():
    files = subprocess.run(["git", "ls-files", *PLACES], cwd=ROOT, capture_output=True, text=True,
                           check=True).stdout.split()
    found = 0
    for name in files:
        if name == "tools/check_platform_names.py":
            continue
        for number, line in enumerate((ROOT / name).read_text(errors="replace").splitlines(), 1):
            if NAMES.search(line) or '#include "platform/' in line:
                print(f"{name}:{number}: platform wire name or header used outside platform/", file=sys.stderr)
                found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
