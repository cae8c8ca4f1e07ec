"""Runners and failure domains over a return of the store from an older copy."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import CONFIGURATION_LIMIT, DRAIN_LIMIT, check_no_new_work, until  # noqa: E402
from store_return import COPY_AGE_SECONDS, StoreReturnTestCase  # noqa: E402

# Limit that the users require, in seconds.
EVACUATION_LIMIT = 5.0


class RunnersAfterReturnTest(StoreReturnTestCase):
    """Runners leave and failure domains are evacuated around the return."""

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

    def check_unused(self, runner, seconds):
        """Checks that no router sends requests to the runner, while all are served."""
        runner.requests.clear()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for router in self.routers:
                self.assertEqual(self.send(router), 200)
            time.sleep(0.02)
        self.assertEqual(len(runner.requests), 0)

    # Guards against requests to a runner that has left, and that the store lists again since it came back from
    # an older copy, until its removal is written again.
    def test_a_runner_that_left_is_not_used_again(self):
        copy = self.call(self.store.copy)
        runner = self.runners[0]
        for said_leaving in (True, False):
            with self.subTest(said_leaving=said_leaving):
                runner.leaving = said_leaving
                self.assertTrue(until(lambda: self.send(self.routers[0]) == 200 and runner.requests, 5))
                self.platform.remove("servers", runner.identifier)
                time.sleep(DRAIN_LIMIT)
                self.leave_and_return(copy)
                self.check_unused(runner, 1.2)
                self.platform.remove("servers", runner.identifier)
                self.check_unused(runner, DRAIN_LIMIT)
                # Another run of the same runner.
                runner.born += 1
                runner.leaving = False
                self.beat()
                self.assertTrue(until(lambda: self.send(self.routers[0]) == 200 and runner.requests, 5))
                copy = self.call(self.store.copy)

    # Guards against requests to a runner that drains, because the store came back with an older entry of it; and
    # against one that is never used again although its entry is written again as usable.
    def test_a_draining_runner_is_not_used_again(self):
        copy = self.call(self.store.copy)
        runner = self.runners[0]
        self.platform.put("servers", runner.identifier, runner.entry("draining"))
        time.sleep(DRAIN_LIMIT)
        self.leave_and_return(copy)
        self.check_unused(runner, 1.2)
        self.platform.put("servers", runner.identifier, runner.entry("draining"))
        self.check_unused(runner, 1)
        self.leave_and_return(copy)
        self.check_unused(runner, 1)
        self.beat()
        self.assertTrue(until(lambda: self.send(self.routers[0]) == 200 and runner.requests, 6))


if __name__ == "__main__":
    unittest.main()
