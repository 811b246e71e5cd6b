#!/usr/bin/python3
"""Checks that the build in production bears this build's messages, settings template and state.

Messages are encoded by position, and the log and snapshots in the same way, so that a message may
not change at all, but for one thing: a field may take more bytes than before if it names the message
(`agreed_by`) by which a host states that it reads them; hosts that do not send it get no more than
before. New messages may be added, and appended to a variant, as a host passes over a kind that it
does not know. The revision is the one that `production` in deploy/system.toml names.
"""

import pathlib
import re
import subprocess
import sys

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
MESSAGES = "schema/messages"
SETTINGS = "schema/settings.yaml"
TEMPLATE = "deploy/settings.yaml.in"


def production():
    text = (ROOT / "deploy/system.toml").read_text()
    found = re.search(r'^production = "([0-9a-f]{40})"$', text, re.MULTILINE)
    return found[1] if found else None


def show(revision, path):
    return subprocess.run(["git", "show", f"{revision}:{path}"], cwd=ROOT, capture_output=True,
                          text=True, check=True).stdout


def paths(revision):
    listed = subprocess.run(["git", "ls-tree", "--name-only", revision, MESSAGES + "/"], cwd=ROOT,
                            capture_output=True, text=True, check=True)
    return listed.stdout.split()


def collect(texts):
    """Returns the fields of messages, the types of variants and the values of enums by name."""
    known = {"messages": {}, "variants": {}, "enums": {}}
    for text in texts:
        schema = yaml.safe_load(text)
        for message in schema.get("messages", []):
            fields = [(field["type"], field.get("max"), field.get("agreed_by"))
                      for field in message.get("fields", [])]
            known["messages"][message["name"]] = fields
        for variant in schema.get("variants", []):
            known["variants"][variant["name"]] = variant["types"]
        for enum in schema.get("enums", []):
            known["enums"][enum["name"]] = [value["name"] for value in enum["values"]]
    return known


def bears(before, after, agreements):
    """Returns whether a field may become another one."""
    kind, bound, _ = before
    new_kind, new_bound, agreed_by = after
    if (kind, bound) == (new_kind, new_bound):
        return True
    grows = kind == new_kind == "bytes" and bound is not None and new_bound > bound
    return grows and agreed_by in agreements


def compare(before, after):
    """Yields what a build with the schemas `before` cannot bear of `after`."""
    agreements = {kind for items in after["variants"].values() for kind in items}
    for name, fields in before["messages"].items():
        now = after["messages"].get(name, [])
        same = len(now) == len(fields) and all(
            bears(old, new, agreements) for old, new in zip(fields, now))
        if not same:
            yield f"message {name}: its fields, their order or bounds differ"
    for kind in ("variants", "enums"):
        for name, items in before[kind].items():
            if after[kind].get(name, [])[:len(items)] != items:
                yield f"{name}: what it had does not come first, in the same order"


def unknown_keys(template, settings):
    """Yields the keys of the settings template that a settings schema does not name."""
    text = re.sub(r"\{\{.*?\}\}", "", template)
    names = set(re.findall(r"\bname: (\w+)", settings))
    for key in re.findall(r"^\s*(\w+):", text, re.MULTILINE):
        if key not in names:
            yield f"{TEMPLATE}: the build in production refuses the key {key}"


def main():
    revision = production()
    if revision is None:
        print("deploy/system.toml names no production", file=sys.stderr)
        return 1
    before = collect(show(revision, path) for path in paths(revision))
    after = collect(path.read_text() for path in sorted((ROOT / MESSAGES).glob("*.yaml")))
    found = list(compare(before, after))
    found += unknown_keys((ROOT / TEMPLATE).read_text(), show(revision, SETTINGS))
    for line in found:
        print(f"schema: {line} (compared with {revision[:7]})", file=sys.stderr)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
