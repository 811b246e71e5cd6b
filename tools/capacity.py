#!/usr/bin/python3
"""Renders docs/CAPACITY.md from docs/capacity/; --check only reports a stale page."""

import json
import pathlib
import sys

import jinja2
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
ROLES = ["entry", "follower", "leader"]
METRICS = ["core_percent", "bytes_per_second", "messages_per_second", "resident_kb"]


def fit(points):
    """Returns the least-squares line through (x, y) and its largest deviation in percent of y."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0
    intercept = mean_y - slope * mean_x
    error = max(
        (abs(intercept + slope * x - y) / y * 100 for x, y in points if y), default=0)
    return {"slope": slope, "intercept": intercept, "error": error}


def slopes(idle):
    result = {}
    for role in ROLES:
        result[role] = {}
        for metric in METRICS:
            points = [(int(hosts), costs[role][metric])
                      for hosts, costs in idle.items() if role in costs]
            result[role][metric] = fit(points) if len(points) > 1 else None
    return result


def at(line, hosts):
    return line["intercept"] + line["slope"] * hosts


def number(value, digits=1):
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.{digits}f}"


def main():
    cluster = json.loads((ROOT / "docs/capacity/cluster.json").read_text())
    figures = yaml.safe_load((ROOT / "docs/capacity/figures.yaml").read_text())
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(ROOT / "tools/templates"), trim_blocks=True,
        lstrip_blocks=True, keep_trailing_newline=True, undefined=jinja2.StrictUndefined)
    environment.filters["number"] = number
    environment.globals["at"] = at
    text = environment.get_template("capacity.md.j2").render(
        idle=cluster["idle"], changes=cluster["changes_with_8_hosts"],
        lines=slopes(cluster["idle"]), roles=ROLES, **figures)
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    if "--check" in sys.argv[1:]:
        print("stale: docs/CAPACITY.md; run tools/capacity.py")
        return 1
    PAGE.write_text(text)
    print("wrote: docs/CAPACITY.md")
    return 0


if __name__ == "__main__":
    sys.exit(main())
