"""The configuration over a return of the store from an older copy."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import CONFIGURATION_LIMIT, KEY, REVOCATION_LIMIT, until  # noqa: E402
from store_return import (  # noqa: E402
    ADDED_ROUTE, AWAY_SECONDS, COPY_AGE_SECONDS, REVOKED_KEY, StoreReturnTestCase)

# Time for which a router waits for what the operator writes again.
REWRITE_SECONDS = 10.0


class ConfigurationAfterReturnTest(StoreReturnTestCase):
    """The operator changes keys and routes around the return."""

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

    def answers(self, router):
        try:
            self.assertEqual(self.send(router, key=REVOKED_KEY), 503)
        except ConnectionRefusedError:
            return False
        return True

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
        self.assertTrue(until(lambda: self.answers(router), 5))
        end = time.monotonic() + 3
        while time.monotonic() < end:
            self.assertEqual(self.send(router, key=REVOKED_KEY), 503)
            self.assertEqual(self.send(router, "/added/1"), 503)
            self.assertFalse(router.is_ready())
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
