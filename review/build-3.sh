#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs without dependencies: nothing is compiled, only parsed.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sorted(pathlib.Path("common-3").glob("*.py")) + sorted(pathlib.Path(".").glob("1[1-5]/case.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
