"""Six routers over a return of the store from an older copy, of which some have read it just before."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import CONFIGURATION_LIMIT, KEY, until  # noqa: E402
from store_return import ADDED_ROUTE, AWAY_SECONDS, COPY_AGE_SECONDS, REVOKED_KEY, StoreReturnTestCase  # noqa: E402


class FleetAfterReturnTest(StoreReturnTestCase):
    """The first router by name queries the store for the others; the last is the only one of its domain."""

    router_domains = ("a", "a", "a", "b", "b", "c")

    # Guards against an added route that stays unknown at those routers that read the store just before its
    # outage, while the others, which read it long before, and the one that queries for all follow.
    def test_routers_that_read_shortly_before_the_outage_follow_too(self):
        copy = self.call(self.store.copy)
        self.beat_for(COPY_AGE_SECONDS - 1)
        restarted = [self.routers[1], self.routers[5]]
        for router in restarted:
            router.process.kill()
            router.process.wait()
            router.start()
        self.beat_for(1)
        self.store.mode = "reset"
        time.sleep(AWAY_SECONDS)
        self.call(lambda: self.store.return_from(copy))
        self.store.mode = "ok"
        self.platform.configure(3, [KEY, REVOKED_KEY])
        self.platform.configure(5, [KEY, REVOKED_KEY], [ADDED_ROUTE])
        changed = time.monotonic()
        # The version passes what the restarted routers have read, and not yet what the first one has.
        for _ in range(5):
            self.beat()
        self.assertTrue(until(lambda: all(router.is_ready() for router in restarted), 3))
        time.sleep(max(changed + CONFIGURATION_LIMIT - time.monotonic(), 0))
        for _ in range(3):
            self.assertEqual([self.send(router, "/added/1") for router in self.routers], [200] * 6)
            time.sleep(1)


if __name__ == "__main__":
    unittest.main()
