"""Gives processes a share of a core as a quota, as the machines of a small deployment have it.

Each process runs until it has used its part of a tenth of a second, and then not at all for the rest of it.
"""

import os
import signal
import subprocess
import sys
import time

PERIOD = 0.1
STEP = 0.002


def used_seconds(pid):
    with open(f"/proc/{pid}/schedstat", encoding="utf-8") as file:
        return int(file.read().split()[0]) / 1e9


def limit(pids, share):
    stopped = set()
    while pids:
        begin = time.monotonic()
        used = {}
        for pid in list(pids):
            try:
                used[pid] = used_seconds(pid)
            except OSError:
                pids.remove(pid)
        while time.monotonic() - begin < PERIOD:
            for pid in pids:
                try:
                    if pid not in stopped and used_seconds(pid) - used[pid] >= share * PERIOD:
                        os.kill(pid, signal.SIGSTOP)
                        stopped.add(pid)
                except OSError:
                    pass
            time.sleep(STEP)
        for pid in stopped:
            try:
                os.kill(pid, signal.SIGCONT)
            except OSError:
                pass
        stopped.clear()


class Quota:
    """Limits the processes until `end`."""

    def __init__(self, pids, share):
        self.pids = pids
        self.process = subprocess.Popen([sys.executable, "-B", __file__, str(share), *map(str, pids)])

    def end(self):
        self.process.kill()
        self.process.wait()
        for pid in self.pids:
            try:
                os.kill(pid, signal.SIGCONT)
            except OSError:
                pass


if __name__ == "__main__":
    limit([int(pid) for pid in sys.argv[2:]], float(sys.argv[1]))
