"""Restarts of the routers while the store holds an older copy of its content."""

import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import CONFIGURATION_LIMIT, KEY, REVOCATION_LIMIT, until  # noqa: E402
from store_return import REVOKED_KEY, StoreReturnTestCase  # noqa: E402

# Pause between the ends of two routers that are restarted in turn.
TURN_SECONDS = 0.5
# From the last restart until the operator writes its configuration again.
REWRITE_SECONDS = 4.0


class RestartsAfterReturnTest(StoreReturnTestCase):
    """The copy holds an older configuration, and routers start before the operator has written again."""

    def count_served(self, key, until_set, served):
        """Sends requests with the key to all routers until the event is set; counts those that are served."""
        attempts = 0
        while not until_set.is_set():
            for router in self.routers:
                attempts += 1
                try:
                    status = router.send(f"probe-{attempts}", "/l/1", "GET", key=key, timeout=2)[0]
                except OSError:
                    continue
                served.append(status == 200)
            time.sleep(0.02)

    def restart(self, routers, end_signal):
        for router in routers:
            router.process.send_signal(end_signal)
        for router in routers:
            router.process.wait(10)
            router.start()

    def check_restarts(self, restart):
        """A key is withdrawn, the store loses that, and `restart` ends and starts routers before the operator
        writes the configuration again."""
        copy = self.call(self.store.copy)
        self.platform.configure(5, [KEY])
        time.sleep(REVOCATION_LIMIT)
        stop, served = threading.Event(), []
        probes = threading.Thread(target=self.count_served, args=[REVOKED_KEY, stop, served])
        probes.start()
        self.leave_and_return(copy)
        restart()
        time.sleep(REWRITE_SECONDS)
        self.platform.configure(5, [KEY])
        for router in self.routers:
            self.assertTrue(until(router.is_ready, CONFIGURATION_LIMIT))
            self.assertEqual(self.send(router), 200)
        stop.set()
        probes.join()
        self.assertGreater(len(served), 20)
        self.assertEqual(sum(served), 0)

    # Guards against a withdrawn key that runs at the last of all routers that are restarted in turn: the others
    # have heard of the newer configuration, but have an older one in force.
    def test_a_withdrawn_key_stays_so_if_all_routers_are_restarted_in_turn(self):
        def restart():
            for router in self.routers:
                self.restart([router], signal.SIGKILL)
                time.sleep(TURN_SECONDS)

        self.check_restarts(restart)

    # Guards against a withdrawn key that runs again because no router is left that knows of the newer
    # configuration.
    def test_a_withdrawn_key_stays_so_if_all_routers_are_killed_at_once(self):
        self.check_restarts(lambda: self.restart(self.routers, signal.SIGKILL))

    # The same, where each router removes its row from the store before it ends.
    def test_a_withdrawn_key_stays_so_if_all_routers_are_stopped_at_once(self):
        self.check_restarts(lambda: self.restart(self.routers, signal.SIGTERM))

    # The same some time after the return, when the routers have written their rows again, and once more.
    def test_a_withdrawn_key_stays_so_over_later_restarts_of_all_routers(self):
        def restart():
            time.sleep(2.5)
            self.restart(self.routers, signal.SIGTERM)
            time.sleep(0.7)
            self.restart(self.routers, signal.SIGTERM)

        self.check_restarts(restart)


if __name__ == "__main__":
    unittest.main()
