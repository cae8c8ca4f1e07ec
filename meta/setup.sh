#!/usr/bin/env bash
# Installs the packages that the build, the checks and the tests need. Needs root on Debian 12.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy pkg-config python3 curl openssl gnuplot-nox
  libboost1.81-dev libtbb-dev libnng-dev libgflags-dev libfmt-dev libtoml11-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev libprotobuf-dev protobuf-compiler librapidcheck-dev
  libgtest-dev libgmock-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -q
  apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
