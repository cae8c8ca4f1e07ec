#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs without dependencies, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast, pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sorted(pathlib.Path("common-2").glob("*.py")) + sorted(pathlib.Path(".").glob("*/case.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
