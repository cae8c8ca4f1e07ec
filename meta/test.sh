#!/usr/bin/env bash
# Set-up, build, format check, lint and all tests in one command.
set -euo pipefail
cd "$(dirname "$0")/.."

meta/setup.sh
meta/build.sh build
meta/format.sh --check
meta/lint.sh
ctest --test-dir build --output-on-failure -j 4 --no-tests=error
