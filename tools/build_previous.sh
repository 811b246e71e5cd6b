#!/usr/bin/env bash
# Builds the program of the revision that `production` in deploy/system.toml names, from the history
# of this repository, as BUILD/previous/foxquay-platform: tools/build_previous.sh BUILD
set -euo pipefail
build=$(realpath "$1")
revision=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
target=$build/previous
[ -n "$revision" ] || { echo "deploy/system.toml names no production" >&2; exit 1; }
[ "$(cat "$target/revision" 2> /dev/null)" = "$revision" ] && exit 0
rm -rf "$target"
mkdir -p "$target/source"
git archive "$revision" | tar -x -C "$target/source"
cmake -S "$target/source" -B "$target/build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DFOXQUAY_BUILD_TESTS=OFF -DFOXQUAY_BUILD_BENCH=OFF > /dev/null
cmake --build "$target/build" --target foxquay-platform
cp "$target/build/platform/foxquay-platform" "$target/foxquay-platform"
echo "$revision" > "$target/revision"
