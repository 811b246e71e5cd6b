#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(
  ccache catch2 clang-format clang-tidy cmake g++ libbenchmark-dev libboost-dev
  libcereal-dev libcurl4-gnutls-dev liblog4cplus-dev libpopt-dev librapidcheck-dev
  libssl-dev libulfius-dev libyaml-cpp-dev make ninja-build nlohmann-json3-dev
  python3-jinja2 python3-yaml
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" > /dev/null
