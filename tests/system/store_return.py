"""Fixture of the tests in which the store comes back from an older copy."""

import time
import unittest

from platform_router import KEY, Router, until
from table_platform import Platform

REVOKED_KEY = "key-2"
DOMAINS = ("a", "b", "c")
AWAY_SECONDS = 0.5
COPY_AGE_SECONDS = 2.0
ADDED_ROUTE = {
    "name": "added", "prefix": "/added/", "route-kind": "idempotent", "timeout-ms": 1000,
    "service": "desk", "max-attempts": 2,
}  # fmt: skip


class StoreReturnTestCase(unittest.TestCase):
    """Routers in three failure domains, one in each unless the test says otherwise, and a plain service."""

    router_domains = DOMAINS

    def setUp(self):
        self.platform = Platform()
        self.store = self.platform.store
        self.platform.configure(3, [KEY, REVOKED_KEY])
        self.runners = [self.platform.add_runner(f"i-{domain}", "desk", domain) for domain in DOMAINS]
        # Without the rows of the routers.
        self.first_copy = self.call(self.store.copy)
        self.routers = []
        for number, domain in enumerate(self.router_domains, 1):
            router = Router(self.platform.store_port, f"127.0.0.{number}", domain)
            self.addCleanup(router.end)
            self.routers.append(router)
        for router in self.routers:
            self.assertTrue(until(router.is_ready, 5))
        # By then the routers know each other.
        time.sleep(3)
        self.count = 0

    def send(self, router, path="/l/1", key=KEY):
        self.count += 1
        return router.send(f"attempt-{self.count}", path, "GET", key=key)[0]

    def beat(self, runners=None):
        """Writes the entries of the runners again."""
        for runner in runners or self.runners:
            self.platform.put("servers", runner.identifier, runner.entry())

    def call(self, function):
        async def run():
            return function()

        return self.platform.call(run())

    def beat_for(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.beat()
            time.sleep(0.3)

    def leave_and_return(self, copy, mode="silent"):
        self.store.mode = mode
        time.sleep(AWAY_SECONDS)
        self.call(lambda: self.store.return_from(copy))
        self.store.mode = "ok"

    def play_return(self, mode, configuration_version=3, clock_offset_ms=0):
        """The store leaves, comes back from a copy, and gets what the operator had written again."""
        copy = self.call(self.store.copy)
        self.beat_for(COPY_AGE_SECONDS - 0.7)
        if configuration_version > 3:
            self.platform.configure(configuration_version, [KEY, REVOKED_KEY])
        self.beat_for(0.7)
        self.store.clock_offset_ms += clock_offset_ms
        self.leave_and_return(copy, mode)
        self.platform.configure(configuration_version, [KEY, REVOKED_KEY])
