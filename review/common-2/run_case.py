"""Runs case.py of the working directory. Any error before its own end means that the case could not run."""

import runpy
import sys
import traceback

try:
    runpy.run_path("case.py", run_name="__main__")
except Exception:  # pylint: disable=broad-except
    traceback.print_exc()
    sys.exit(2)
