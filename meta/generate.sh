#!/usr/bin/env bash
# Regenerates the committed Protocol Buffers code. Needs the package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --cpp_out=. libraries/wire/control.proto
