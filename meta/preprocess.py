"""Prints the preprocessed text of one translation unit, with the flags of compile_commands.json.

Usage: preprocess.py BUILD_FOLDER FILE
"""

import json
import os
import shlex
import subprocess
import sys


def main() -> int:
    build, wanted = sys.argv[1], os.path.realpath(sys.argv[2])
    with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as handle:
        entries = json.load(handle)
    for entry in entries:
        if os.path.realpath(entry["file"]) != wanted:
            continue
        words = shlex.split(entry["command"])
        # The compiler follows the ccache launcher and its environment.
        launchers = [i for i, word in enumerate(words) if os.path.basename(word) == "ccache"]
        words = words[launchers[0] + 1 :] if launchers else words
        output = words.index("-o")
        del words[output : output + 2]
        words[words.index("-c")] = "-E"
        words.insert(words.index("-E"), "-P")
        return subprocess.run(words, cwd=entry["directory"], check=False).returncode
    print(f"{sys.argv[2]} is in no target", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
