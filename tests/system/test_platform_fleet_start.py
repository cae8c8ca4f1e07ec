"""Two routers on the users' platform that start while the table store refuses or loses writes."""

import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import KEY, Router, until  # noqa: E402
from table_platform import Platform  # noqa: E402

# Time in seconds for which the store refuses writes.
REFUSAL_SECONDS = 4
# Time in seconds in which routers must exchange reports once the store accepts writes: 3 s by the users'
# requirement ("contact-ms"), and 1 s between two log lines that tell the number of peers.
CONTACT_LIMIT = 4.0
# Each router proposes the key at once, and again after at least this time in seconds.
SHORTEST_PROPOSAL_PAUSE = 1.0
KEY_ROW = "key"


class PlatformFleetStartTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.store = self.platform.store
        self.platform.configure(3, [KEY])
        self.platform.add_runner("i-d1", "desk")

    def start_routers(self):
        self.routers = []
        for ip in ("127.0.0.1", "127.0.0.2"):
            self.routers.append(Router(self.platform.store_port, ip))
            self.addCleanup(self.routers[-1].end)
        for router in self.routers:
            self.assertTrue(until(router.is_ready, 5))

    def peer_counts(self):
        """Returns the number of other routers from which each router has had reports lately."""
        loads = [[line for line in router.log_lines() if line["message"] == "load"] for router in self.routers]
        return [lines[-1]["peers"] if lines else 0 for lines in loads]

    def in_contact(self):
        return self.peer_counts() == [1, 1]

    def writes_of(self, key):
        return [status for row, status in list(self.store.writes) if row == key]

    # Guards against routers that propose the key only once: if the store refused that write, they exchanged
    # no reports until a restart.
    def test_key_is_proposed_again_after_refused_writes(self):
        self.store.write_mode = 503
        self.start_routers()
        time.sleep(REFUSAL_SECONDS)
        refused = len(self.writes_of(KEY_ROW))
        self.assertGreaterEqual(refused, 2)
        self.assertEqual(self.peer_counts(), [0, 0])
        self.store.write_mode = "ok"
        self.assertTrue(until(self.in_contact, CONTACT_LIMIT), f"peers: {self.peer_counts()}")
        proposals = self.writes_of(KEY_ROW)
        self.assertEqual(proposals.count(200), 1)
        time.sleep(REFUSAL_SECONDS)
        self.assertEqual(self.writes_of(KEY_ROW), proposals)

    # Guards against a high rate of calls to a store that refuses them.
    def test_refused_proposals_are_repeated_at_a_bounded_rate(self):
        self.store.write_mode = 503
        self.start_routers()
        before = len(self.writes_of(KEY_ROW))
        time.sleep(REFUSAL_SECONDS)
        repeated = len(self.writes_of(KEY_ROW)) - before
        self.assertGreaterEqual(repeated, 2)
        self.assertLessEqual(repeated, 2 * (1 + REFUSAL_SECONDS / SHORTEST_PROPOSAL_PAUSE))

    # Guards against routers that replace each other's keys, or that write on, after responses were lost.
    def test_lost_responses_leave_one_key(self):
        self.store.write_mode = "lost"
        self.start_routers()
        self.assertTrue(until(self.in_contact, CONTACT_LIMIT), f"peers: {self.peer_counts()}")
        self.store.write_mode = "ok"
        proposals = self.writes_of(KEY_ROW)
        self.assertEqual(proposals.count(200), 1)
        time.sleep(REFUSAL_SECONDS)
        self.assertEqual(self.writes_of(KEY_ROW), proposals)

    # Guards against more store calls at a start without faults, as calls are charged.
    def test_start_without_faults_writes_each_row_once(self):
        self.start_routers()
        self.assertTrue(until(self.in_contact, CONTACT_LIMIT), f"peers: {self.peer_counts()}")
        time.sleep(REFUSAL_SECONDS)
        proposals = self.writes_of(KEY_ROW)
        self.assertLessEqual(len(proposals), len(self.routers))
        self.assertEqual(proposals.count(200), 1)
        for router in self.routers:
            self.assertEqual(self.writes_of(f"router/{router.ip}"), [200])

    # Guards against proposals by a router that is about to exit.
    def test_stopping_router_proposes_no_key(self):
        self.store.write_mode = 503
        self.start_routers()
        for router in self.routers:
            router.process.send_signal(signal.SIGTERM)
        # A call may have been sent directly before the signal was handled.
        time.sleep(0.2)
        proposals = self.writes_of(KEY_ROW)
        for router in self.routers:
            self.assertEqual(router.process.wait(15), 0)
        self.assertEqual(self.writes_of(KEY_ROW), proposals)


if __name__ == "__main__":
    unittest.main(verbosity=2)
