#!/usr/bin/python3
"""Runs clang-tidy on one source file unless the same input has passed before."""

import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def compile_arguments(build, source):
    database = json.loads((build / "compile_commands.json").read_text())
    for entry in database:
        if pathlib.Path(entry["file"]) == source:
            words = shlex.split(entry["command"])
            while pathlib.Path(words[0]).name == "ccache":
                words = words[1:]
            return words[: words.index("-o")], entry["directory"]
    return None, None


def digest(words, directory, source):
    text = subprocess.run(
        [*words, "-E", "-P", str(source)], cwd=directory, capture_output=True, check=False
    ).stdout
    flags = [w.replace(str(ROOT), "") for w in words]
    settings = (ROOT / ".clang-tidy").read_bytes()
    text = text.replace(str(ROOT).encode(), b"")
    comments = source.read_bytes()
    return hashlib.sha256(text + settings + comments + repr(flags).encode()).hexdigest()


def main():
    source = (ROOT / sys.argv[1]).resolve()
    build = (ROOT / os.environ["FOXQUAY_LINT_BUILD"]).resolve()
    words, directory = compile_arguments(build, source)
    if words is None:
        print(f"{sys.argv[1]}: not in the compilation database", file=sys.stderr)
        return 1
    record = pathlib.Path(os.environ["FOXQUAY_LINT_CACHE"]) / digest(words, directory, source)
    if record.exists():
        return 0
    result = subprocess.run(
        ["clang-tidy", "--quiet", "--extra-arg=-Wno-unknown-warning-option", "-p", str(build), str(source)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        check=False,
    )
    if result.returncode == 0:
        record.touch()
        return 0
    print(result.stdout)
    return 1


if __name__ == "__main__":
    sys.exit(main())
