#!/usr/bin/python3
"""Generates C++ and documentation from schema/; --check only reports stale files."""

import pathlib
import re
import subprocess
import sys

import jinja2
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent

SCALARS = {
    "bool": ("bool", "false", []),
    "u8": ("std::uint8_t", "0", ["<cstdint>"]),
    "u16": ("std::uint16_t", "0", ["<cstdint>"]),
    "u32": ("std::uint32_t", "0", ["<cstdint>"]),
    "u64": ("std::uint64_t", "0", ["<cstdint>"]),
    "i64": ("std::int64_t", "0", ["<cstdint>"]),
    "f64": ("double", "0", []),
    "string": ("std::string", None, ["<string>"]),
    "bytes": ("std::string", None, ["<string>"]),
    "address": ("std::string", None, ["<string>"]),
    "network": ("std::string", None, ["<string>"]),
    "path": ("std::string", None, ["<string>"]),
    "duration": ("core::Duration", "{}", []),
    "wall": ("core::WallTime", "{}", []),
}
IDS = ["HostId", "DataCentreId", "RegionId", "WorkspaceId", "UpstreamId", "ModelId", "ServiceId",
       "PromptPartId"]
DURATION_UNITS = {"ms": "std::chrono::milliseconds", "s": "std::chrono::seconds"}
DEFAULT_LIMIT = 256


def cpp_type(kind):
    """Returns the C++ type and initializer of a schema type."""
    nested = re.fullmatch(r"(list|optional)<(.+)>", kind)
    if nested:
        inner, _ = cpp_type(nested[2])
        outer = "std::vector" if nested[1] == "list" else "std::optional"
        return f"{outer}<{inner}>", None
    if kind in SCALARS:
        return SCALARS[kind][0], SCALARS[kind][1]
    if kind in IDS:
        return f"core::{kind}", None
    if kind in ("Outcome", "TrafficClass"):
        return f"core::{kind}", "{}"
    return kind, None


def field_view(field, enums):
    kind = field["type"]
    cpp, initializer = cpp_type(kind)
    if kind in enums:
        initializer = "{}"
    if "default" in field:
        initializer = cpp_default(kind, field["default"])
    bounded = kind.startswith("list<") or kind in ("string", "bytes")
    return {**field, "cpp": cpp, "initializer": initializer, "bounded": bounded,
            "max": field.get("max", DEFAULT_LIMIT), "stated": "max" in field, "doc": field.get("doc", "").strip()}


def cpp_default(kind, value):
    if kind == "duration":
        number, unit = re.fullmatch(r"(\d+)(ms|s)", value).groups()
        return f"{DURATION_UNITS[unit]}({number})"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return str(value)
    return '"' + value + '"'


def camel(name):
    return "".join(part.capitalize() for part in re.split(r"[._-]", name))


def message_outputs(environment):
    for path in sorted((ROOT / "schema/messages").glob("*.yaml")):
        schema = yaml.safe_load(path.read_text())
        enums = {e["name"] for e in schema.get("enums", [])}
        items = []
        for message in schema.get("messages", []):
            fields = [field_view(f, enums) for f in message.get("fields", [])]
            items.append({**message, "fields": fields})
        text = environment.get_template("messages.h.j2").render(
            guard=f"FOXQUAY_SCHEMA_{path.stem.upper()}_H_", schema=schema, messages=items,
            source=path.name)
        yield ROOT / f"src/foxquay/schema/{path.stem}.h", text


def settings_outputs(environment):
    schema = yaml.safe_load((ROOT / "schema/settings.yaml").read_text())
    enums = {e["name"] for e in schema.get("enums", [])}
    structs = {s["name"] for s in schema["structs"]}
    views = []
    for struct in schema["structs"]:
        views.append({**struct, "fields": [field_view(f, enums) for f in struct["fields"]]})
    nested = {f["type"] for s in schema["structs"] for f in s["fields"]} & structs
    context = {"schema": schema, "structs": views, "struct_names": structs, "enum_names": enums,
               "compared": nested | {"Settings"}}
    yield (ROOT / "src/foxquay/schema/settings.h",
           environment.get_template("settings.h.j2").render(**context))
    yield (ROOT / "src/foxquay/settings/reader_generated.cc",
           environment.get_template("reader.cc.j2").render(**context))
    yield (ROOT / "src/foxquay/settings/difference_generated.cc",
           environment.get_template("difference.cc.j2").render(**context))
    policy = yaml.safe_load((ROOT / "schema/policy.yaml").read_text())["keys"]
    policy = [{**key, "constant": "k" + camel(key["name"])} for key in policy]
    yield (ROOT / "src/foxquay/schema/policy.h",
           environment.get_template("policy.h.j2").render(keys=policy))
    yield (ROOT / "docs/configuration.md",
           environment.get_template("configuration.md.j2").render(keys=policy, **context))


def clang_format(path, text):
    if path.suffix == ".md":
        return text
    return subprocess.run(
        ["clang-format", f"--assume-filename={path}"], input=text, capture_output=True, text=True,
        check=True, cwd=ROOT).stdout


def main():
    check = "--check" in sys.argv[1:]
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(ROOT / "tools/templates"), trim_blocks=True,
        lstrip_blocks=True, keep_trailing_newline=True, undefined=jinja2.StrictUndefined)
    environment.filters["camel"] = camel
    stale = []
    for path, text in [*message_outputs(environment), *settings_outputs(environment)]:
        text = clang_format(path, text)
        if path.exists() and path.read_text() == text:
            continue
        stale.append(str(path.relative_to(ROOT)))
        if not check:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
    for name in stale:
        print(f"{'stale' if check else 'wrote'}: {name}")
    return 1 if check and stale else 0


if __name__ == "__main__":
    sys.exit(main())
