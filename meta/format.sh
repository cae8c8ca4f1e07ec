#!/usr/bin/env bash
# Formats all C++ sources; with --check it changes nothing and fails if a file would change.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -z --cached --others --exclude-standard '*.cc' '*.h' |
  xargs -0 -r -n 16 -P "$(nproc)" clang-format "${mode[@]}"
