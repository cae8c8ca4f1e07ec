#!/usr/bin/env bash
# Runs the measures with real processes and emulators on loopback and writes
# docs/measurements.jsonl. Takes about ten minutes on an idle machine with 10 cores.
#   meta/measure.sh                 all measures
#   meta/measure.sh flood added     only these groups; their lines replace the older ones
set -euo pipefail
cd "$(dirname "$0")/.."

meta/build.sh build
exec python3 -B meta/measure.py --output docs/measurements.jsonl "$@"
