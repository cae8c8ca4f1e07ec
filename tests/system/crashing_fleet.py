"""Fixture of the tests in which requests crash the runners that execute them."""

import itertools
import random
import threading
import time
import unittest

from platform_router import KEY, Router, until
from table_platform import Platform, part_identifiers

SEED = 1
CRASHING_PART = "bad1"
# Time in seconds in which a router discovers the others.
DISCOVERY_SECONDS = 2.0
# Longer than the time in seconds within which crashes count as one.
MOMENT_SECONDS = 1.0
# The users' limits: at most this many requests that crash runners may reach them later than
# CONTAINMENT_SECONDS after the crash by which they must be known.
CONTAINMENT_SECONDS = 3.0
REQUESTS_AFTER_CONTAINMENT = 3


class CrashingFleetTestCase(unittest.TestCase):
    """Three routers, one in each failure domain, and runners that start again after they have crashed."""

    def setUp(self):
        self.random = random.Random(SEED)
        self.numbers = itertools.count(1)
        self.platform = Platform()
        self.platform.configure(3, [KEY])
        self.runners = []
        self.past_runners = []
        self.results = []
        self.stopping = threading.Event()
        self.threads = []

    def start_fleet(self, service, count, **attributes):
        for _ in range(count):
            runner = self.platform.add_runner(f"i-{next(self.numbers)}", service)
            for name, value in attributes.items():
                setattr(runner, name, value)
            self.runners.append(runner)
        self.routers = [
            Router(self.platform.store_port, f"127.0.0.{n}", domain) for n, domain in ((1, "a"), (2, "b"), (3, "c"))
        ]
        for router in self.routers:
            self.addCleanup(router.end)
        self.addCleanup(self.stop)
        for router in self.routers:
            self.assertTrue(until(router.is_ready, 5))
        time.sleep(DISCOVERY_SECONDS)
        self.run_in_background(self.restart_crashed_runners)

    def run_in_background(self, function, *arguments):
        self.threads.append(threading.Thread(target=function, args=arguments, daemon=True))
        self.threads[-1].start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(10)
        self.threads.clear()

    def restart_crashed_runners(self):
        delays = random.Random(SEED)
        due = {}
        while not self.stopping.is_set():
            for index, runner in enumerate(self.runners):
                if runner.crashed_at is None:
                    continue
                due.setdefault(runner, runner.crashed_at + delays.uniform(1.0, 2.5))
                if time.monotonic() >= due[runner]:
                    self.past_runners.append(runner)
                    self.runners[index] = self.platform.restart_runner(runner, f"i-{next(self.numbers)}")
            time.sleep(0.02)

    def all_runners(self):
        return self.past_runners + self.runners

    def send_crashing(self, router):
        attempt = f"attempt-{next(self.numbers)}"
        headers = {"X-Prompt-Prefix": f"a1:500,{CRASHING_PART}:40,{next(self.numbers):x}:300"}
        return router.send(attempt, "/s/1", headers=headers, timeout=4)[0]

    def count_crashing_requests(self):
        return sum(
            CRASHING_PART in part_identifiers(request["headers"])
            for runner in self.all_runners()
            for request in runner.requests
        )
