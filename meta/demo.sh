#!/usr/bin/env bash
# Installs what is missing, builds, and shows the Atlas example as a small fleet of real processes on
# loopback. Takes about 70 s after the build. Every process is a child of meta/demo.py, which
# stops exactly those, also after an error or Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."

meta/setup.sh
meta/build.sh build
exec python3 -B meta/demo.py "$@"
