#!/usr/bin/env python3
"""A soak test of the containment of a request that crashes runners while routers and the store are disturbed.

    crash_containment_soak.py --seeds 1-50 [--seconds 30]

Each seed starts three routers and runners of a plain service against the platform stand-in. One look-up, the
same each time, crashes each runner that executes it; its callers send it again and again to all routers, on
connections that they keep open. Meanwhile routers are killed, stopped and frozen, one or all at once, in
series that overlap, and the store is away, refuses writes, or comes back from an older copy. At the end the
runners are sound. It checks:

  - the look-up crashes at most three more runners later than 3 s after the third crash
  - at the end it is served soon after a trial is due

The routers are not killed all at once within a few seconds of a return of the store: the copy may lack the
record, and it is written again by the routers that know it.

Prints one line for each seed, and the events if a check failed.
"""

import http.client
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "system"))
from platform_router import KEY, Router, caller_headers, until  # noqa: E402
from seeds import run_seeds, seed_parser  # noqa: E402
from table_platform import Platform  # noqa: E402

CRASHING_PART = "bad1"
CRASHES = 3
CONTAINMENT_SECONDS = 3.0
LATE_LIMIT = 3
RUNNERS = 4
STOP_LIMIT = 8.5
# Time in seconds after the latest crash within which a sound look-up is served: by the second trial, a minute
# after the first one, and by callers that come a few times a second.
RELEASE_LIMIT = 66.0
# Time in seconds after a return of the store in which the routers write again what it has lost.
REWRITE_SECONDS = 5.0


class Soak:
    """Fleet, callers and disturbances of one seed."""

    def __init__(self, seed, seconds):
        self.seed, self.seconds = seed, seconds
        self.random = random.Random(seed)
        self.over = threading.Event()
        self.events, self.broken, self.crashes, self.statuses = [], [], [], []
        self.is_sound, self.returned_at, self.count = False, 0.0, 0
        self.platform = Platform()
        self.store = self.platform.store
        self.platform.configure(3, [KEY])
        self.runners = [self.add_runner() for _ in range(RUNNERS)]
        net = f"127.{seed % 250 + 1}.2"
        self.routers = [
            Router(self.platform.store_port, f"{net}.{n + 1}", domain) for n, domain in enumerate("abc")]
        self.begun = time.monotonic()

    def record(self, text):
        self.events.append(f"{time.monotonic() - self.begun:6.2f} {text}")

    def add_runner(self):
        self.count += 1
        runner = self.platform.add_runner(f"i-{self.count}", "desk")
        runner.crashing_part = None if self.is_sound else CRASHING_PART
        runner.execution_seconds = 0.01
        return runner

    def restart_crashed_runners(self):
        draws = random.Random(f"runners {self.seed}")
        while not self.over.is_set():
            for index, runner in enumerate(self.runners):
                if runner.crashed_at is None:
                    continue
                self.crashes.append(runner.crashed_at)
                self.record(f"crash of {runner.identifier}")
                time.sleep(draws.uniform(0.2, 1.0))
                self.platform.remove("servers", runner.identifier)
                self.runners[index] = self.add_runner()
            time.sleep(0.02)

    def send_repeatedly(self, number):
        draws = random.Random(f"caller {self.seed} {number}")
        router, connection, count = self.routers[number], None, 0
        while not self.over.is_set():
            count += 1
            headers = caller_headers(f"{number}-{count}", KEY, deadline_ms=1500)
            try:
                connection = connection or http.client.HTTPConnection(router.ip, router.caller_port, timeout=2)
                connection.request("GET", "/l/1", headers=headers | {"X-Prompt-Prefix": f"{CRASHING_PART}:40"})
                answer = connection.getresponse()
                answer.read()
                self.statuses.append((time.monotonic(), number, answer.status))
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
            time.sleep(draws.uniform(0.2, 1.0))

    def end_and_start(self, numbers, end_signal):
        self.record(f"{end_signal.name} {numbers}")
        for number in numbers:
            self.routers[number].process.send_signal(end_signal)
        for number in numbers:
            ended = until(lambda p=self.routers[number].process: p.poll() is not None, STOP_LIMIT)
            if not ended:
                self.broken.append(f"router {number} did not end in time")
        time.sleep(self.random.uniform(0.0, 1.0))
        for number in numbers:
            self.routers[number].start()

    def disturb(self):
        kind = self.random.choice(["one", "all", "all", "turn", "freeze", "away", "refused", "return"])
        end_signal = self.random.choice([signal.SIGKILL, signal.SIGKILL, signal.SIGTERM])
        if kind == "one":
            self.end_and_start([self.random.randrange(3)], end_signal)
        elif kind == "all" and time.monotonic() > self.returned_at + REWRITE_SECONDS:
            self.end_and_start([0, 1, 2], end_signal)
        elif kind == "turn" and time.monotonic() > self.returned_at + REWRITE_SECONDS:
            for number in self.random.sample(range(3), 3):
                self.end_and_start([number], end_signal)
        elif kind == "freeze":
            process = self.random.choice(self.routers).process
            self.record("freeze")
            process.send_signal(signal.SIGSTOP)
            time.sleep(self.random.uniform(0.3, 3.0))
            process.send_signal(signal.SIGCONT)
        elif kind in ("away", "return"):
            self.disturb_store(kind == "return")
        elif kind == "refused":
            self.record("writes refused")
            self.store.write_mode = 429
            time.sleep(self.random.uniform(0.3, 1.5))
            self.store.write_mode = "ok"

    def disturb_store(self, is_return):
        async def call(function):
            return function()

        copy = self.platform.call(call(self.store.copy))
        if is_return:
            time.sleep(self.random.uniform(0.5, 3.0))
        self.record("store away" + (", then from a copy" if is_return else ""))
        self.store.mode = self.random.choice(["reset", "silent", 503])
        time.sleep(self.random.uniform(0.2, 2.0))
        if is_return:
            self.platform.call(call(lambda: self.store.return_from(copy)))
            self.returned_at = time.monotonic()
        self.store.mode = "ok"

    def run(self):
        if not all(until(router.is_ready, 8) for router in self.routers):
            self.broken.append("not ready at the start")
        time.sleep(2.5)
        threads = [threading.Thread(target=self.restart_crashed_runners, daemon=True)]
        threads += [threading.Thread(target=self.send_repeatedly, args=[n], daemon=True) for n in range(3)]
        for thread in threads:
            thread.start()
        if not until(lambda: len(self.crashes) >= CRASHES, 15):
            self.broken.append("the look-up did not crash three runners")
        # The routers need a moment to record the third crash.
        time.sleep(self.random.uniform(0.5, 4.0))
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            self.disturb()
            time.sleep(self.random.choice([0.0, 0.5, 2.0, 4.0]))
        crashes = sorted(self.crashes)
        late = [at for at in crashes[CRASHES:] if at > crashes[CRASHES - 1] + CONTAINMENT_SECONDS]
        if len(late) > LATE_LIMIT:
            self.broken.append(f"{len(late)} late crashes")
        self.is_sound = True
        for runner in self.runners:
            runner.crashing_part = None
        self.record("runners are sound")
        sound_at = time.monotonic()
        served = until(lambda: any(status == 200 and at > sound_at for at, _, status in self.statuses),
                       max(sorted(self.crashes)[-1] + RELEASE_LIMIT - time.monotonic(), 8.0))  # fmt: skip
        if not served:
            self.broken.append("the sound look-up was not served")
        self.released = time.monotonic() - sound_at
        self.late = len(late)

    def end(self):
        self.over.set()
        for router in self.routers:
            router.end()


def run(seed, seconds):
    """Runs one seed; returns whether all checks passed."""
    soak = Soak(seed, seconds)
    try:
        soak.run()
        print(f"seed {seed}: {len(soak.crashes)} crashes, {soak.late} late, era {soak.store.era}, served "
              f"{soak.released:.1f} s after the runners were sound, {len(soak.broken)} broken", flush=True)  # fmt: skip
        if soak.broken:
            print("  broken:", *soak.broken, sep="\n    ")
            print("  events:", *soak.events, sep="\n    ")
        return not soak.broken
    finally:
        soak.end()


def main():
    arguments = seed_parser(__doc__, 30.0).parse_args()
    run_seeds(arguments.seeds, lambda seed: run(seed, arguments.seconds))


if __name__ == "__main__":
    main()
