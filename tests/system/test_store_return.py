"""The store comes back from an older copy, with real routers against the platform stand-in."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import (  # noqa: E402
    CONFIGURATION_LIMIT, KEY, REVOCATION_LIMIT, Router, check_no_new_work, until)
from table_platform import Platform  # noqa: E402

REVOKED_KEY = "key-2"
DOMAINS = ("a", "b", "c")
AWAY_SECONDS = 0.5
COPY_AGE_SECONDS = 2.0
# Time for which a router waits for what the operator writes again.
REWRITE_SECONDS = 10.0
# Limit that the users require, in seconds.
EVACUATION_LIMIT = 5.0
ADDED_ROUTE = {
    "name": "added", "prefix": "/added/", "route-kind": "idempotent", "timeout-ms": 1000,
    "service": "desk", "max-attempts": 2,
}


class StoreReturnTest(unittest.TestCase):
    """Three routers in as many failure domains, and a plain service."""

    def setUp(self):
        self.platform = Platform()
        self.store = self.platform.store
        self.platform.configure(3, [KEY, REVOKED_KEY])
        self.runners = [self.platform.add_runner(f"i-{domain}", "desk", domain) for domain in DOMAINS]
        self.routers = []
        for number, domain in enumerate(DOMAINS, 1):
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

    def check_change_after_return(self, version):
        """Withdraws a key and adds a route; both must be in force at each router in time."""
        self.platform.configure(version, [KEY], [ADDED_ROUTE])
        changed = time.monotonic()
        # The versions of the store pass those that were lost before each router has read again.
        for _ in range(8):
            self.beat()
        time.sleep(max(changed + CONFIGURATION_LIMIT - time.monotonic(), 0))
        self.assertEqual([self.send(router, "/added/1") for router in self.routers], [200] * 3)
        time.sleep(max(changed + REVOCATION_LIMIT - time.monotonic(), 0))
        for _ in range(3):
            self.assertEqual([self.send(router, key=REVOKED_KEY) for router in self.routers], [401] * 3)
            self.assertEqual([self.send(router) for router in self.routers], [200] * 3)
            time.sleep(0.5)

    # Guards against a change of the configuration that is never in force, because the routers read on from a
    # version that the store has given out again.
    def test_a_change_right_after_the_return_is_in_force(self):
        version = 3
        for mode, clock_offset_ms in (("silent", 0), ("reset", 0), (503, -3_600_000), ("silent", 3_600_000)):
            with self.subTest(mode=mode, clock_offset_ms=clock_offset_ms):
                self.platform.configure(version, [KEY, REVOKED_KEY])
                time.sleep(3)
                self.play_return(mode, version + 1, clock_offset_ms)
                version += 2
                self.check_change_after_return(version)
                version += 1

    # Guards against an evacuation that is never in force, because the version at which it was written after the
    # return is lower than the one that the routers know.
    def test_an_evacuation_before_the_old_version_is_reached_is_in_force(self):
        copy = self.call(self.store.copy)
        self.beat_for(COPY_AGE_SECONDS)
        self.leave_and_return(copy)
        self.platform.put("op", "evacuate/b", b"{}")
        time.sleep(EVACUATION_LIMIT)
        for router in self.routers:
            check_no_new_work(self, self.runners[1], lambda r=router: self.send(r))

    # Guards against work for an evacuated domain while the copy lacks the evacuation, and against one that goes
    # on although the operator has withdrawn it since.
    def test_an_evacuation_holds_until_it_is_written_again(self):
        copy = self.call(self.store.copy)
        self.platform.put("op", "evacuate/b", b"{}")
        time.sleep(EVACUATION_LIMIT)
        self.leave_and_return(copy)
        for _ in range(6):
            for router in self.routers:
                check_no_new_work(self, self.runners[1], lambda r=router: self.send(r))
            time.sleep(0.4)
        self.platform.put("op", "evacuate/b", b"{}")
        time.sleep(CONFIGURATION_LIMIT)
        self.platform.remove("op", "evacuate/b")
        served = lambda: [self.send(self.routers[1]) for _ in range(5)] and self.runners[1].requests  # noqa: E731
        self.runners[1].requests.clear()
        self.assertTrue(until(served, 5))

    # Guards against a withdrawn key that is in use again, and a route that is unknown again, at a router that
    # starts while the store holds an older configuration than the others have.
    def test_a_router_that_starts_in_the_older_copy_does_not_serve_by_it(self):
        copy = self.call(self.store.copy)
        self.platform.configure(5, [KEY], [ADDED_ROUTE])
        time.sleep(REVOCATION_LIMIT)
        router = self.routers[0]
        router.process.kill()
        router.process.wait()
        self.leave_and_return(copy)
        router.start()
        self.assertTrue(until(lambda: self.policy_lines(router), 5))
        # The others report to it in this time.
        time.sleep(1.5)
        self.runners[0].requests.clear()
        for _ in range(10):
            self.assertEqual(self.send(router, key=REVOKED_KEY), 503)
            self.assertEqual(self.send(router, "/added/1"), 503)
            self.assertFalse(router.is_ready())
            time.sleep(0.2)
        self.platform.configure(5, [KEY], [ADDED_ROUTE])
        self.assertTrue(until(router.is_ready, CONFIGURATION_LIMIT))
        for router in self.routers:
            self.assertEqual(self.send(router, "/added/1"), 200)
            self.assertEqual(self.send(router, key=REVOKED_KEY), 401)

    # Guards against a router that refuses all requests for ever because a configuration that was lost is never
    # written again.
    def test_a_lost_configuration_that_is_not_written_again_is_given_up(self):
        copy = self.call(self.store.copy)
        self.platform.configure(5, [KEY])
        time.sleep(1)
        router = self.routers[0]
        router.process.kill()
        router.process.wait()
        self.leave_and_return(copy)
        router.start()
        time.sleep(REWRITE_SECONDS + 3)
        self.assertEqual([(r.is_ready(), self.send(r)) for r in self.routers], [(True, 200)] * 3)
        # None of the other routers goes back to the older one.
        self.assertEqual([self.send(r, key=REVOKED_KEY) for r in self.routers[1:]], [401] * 2)

    def policy_lines(self, router):
        started = max(n for n, line in enumerate(router.log_lines()) if line["message"] == "start")
        return [line for line in router.log_lines()[started:] if line["message"] == "policy_in_force"]

    # Guards against requests that are refused because the store was away for a moment.
    def test_requests_go_on_over_the_return(self):
        copy = self.call(self.store.copy)
        self.beat_for(COPY_AGE_SECONDS)
        statuses = []
        self.store.mode = "silent"
        end = time.monotonic() + AWAY_SECONDS
        while time.monotonic() < end:
            statuses += [self.send(router) for router in self.routers]
        self.call(lambda: self.store.return_from(copy))
        self.store.mode = "ok"
        end = time.monotonic() + 8
        while time.monotonic() < end:
            self.beat()
            statuses += [self.send(router) for router in self.routers]
            time.sleep(0.1)
        self.assertEqual(statuses, [200] * len(statuses))


if __name__ == "__main__":
    unittest.main()
