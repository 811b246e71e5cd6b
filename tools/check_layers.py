#!/usr/bin/python3
"""Checks that modules include only what tools/layers.yaml allows."""

import pathlib
import re
import sys

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROJECT_INCLUDE = re.compile(r'#include "foxquay/([a-z]+)/')
IO_INCLUDE = re.compile(
    r"#include <(ulfius|sys/socket|netinet|unistd|fcntl|fstream|thread|boost/asio|log4cplus|yaml-cpp|curl)"
)


def findings():
    layers = yaml.safe_load((ROOT / "tools/layers.yaml").read_text())
    for path in sorted((ROOT / "src/foxquay").rglob("*.[hc]*")):
        if path.suffix not in (".h", ".cc"):
            continue
        module = path.relative_to(ROOT / "src/foxquay").parts[0]
        place = path.relative_to(ROOT)
        if module not in layers:
            yield f"{place}: module '{module}' is missing from tools/layers.yaml"
            continue
        allowed = {module, *layers[module]["uses"]}
        for number, line in enumerate(path.read_text().splitlines(), 1):
            include = PROJECT_INCLUDE.match(line)
            if include and include[1] not in allowed:
                yield f"{place}:{number}: module '{module}' may not include '{include[1]}'"
            if layers[module]["core"] and IO_INCLUDE.match(line):
                yield f"{place}:{number}: core module '{module}' includes an I/O header"


def main():
    found = list(findings())
    for finding in found:
        print(finding, file=sys.stderr)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
