#!/usr/bin/env bash
# Configures and builds everything into ./build, or into the folder given as the first argument.
set -euo pipefail
cd "$(dirname "$0")/.."

build="${1:-build}"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build"
