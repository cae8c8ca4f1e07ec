#!/bin/sh
# The stand-ins of the cases are Python files, so nothing is compiled; this checks that each can be read.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
