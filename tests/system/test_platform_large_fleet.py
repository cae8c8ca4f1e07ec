"""A fleet on the users' platform so large that a report crosses to each other failure domain only once."""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import KEY, Router, until  # noqa: E402
from table_platform import Platform  # noqa: E402

DOMAINS = "ab"
ROUTERS_PER_DOMAIN = 9
# A router that is silent for 2.2 s no longer counts as a peer; the load line is logged every second.
PEER_EXPIRY_SECONDS = 2.2 + 2.0
# Time in seconds in which every router reads the rows of all others.
DISCOVERY_SECONDS = 6.0
# Time in seconds in which every router reads the entries of new runners.
RUNNER_DISCOVERY_SECONDS = 2.0
# Longest time of a whole stream: the objective of 0.6 s for its first event, and its events.
STREAM_SECONDS = 2.0


class PlatformLargeFleetTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.platform.configure(3, [KEY])
        self.platform.add_runner("i-d1", "desk")
        self.routers = []
        for number, domain in enumerate(DOMAINS):
            for index in range(ROUTERS_PER_DOMAIN):
                router = Router(self.platform.store_port, f"127.0.{number + 1}.{index + 1}", domain)
                self.addCleanup(router.end)
                self.routers.append(router)
        for router in self.routers:
            self.assertTrue(until(router.is_ready, 10))

    def known_peers(self, router):
        """Returns the number of peers whose reports this router has, from its last load line."""
        loads = [line for line in router.log_lines() if line["message"] == "load"]
        return loads[-1]["peers"] if loads else 0

    def all_peers_known(self, routers):
        return all(self.known_peers(router) == len(routers) - 1 for router in routers)

    # Guards against traffic between failure domains that grows with the square of the number of routers,
    # and against routers that get no reports from another domain, also while relays there are dead.
    def test_reports_cross_once_and_reach_all(self):
        self.assertTrue(until(lambda: self.all_peers_known(self.routers), DISCOVERY_SECONDS))
        sender = self.routers[0]
        across = sender.metric('pomelospar_report_datagrams_total{kind="sent_across"')
        inside = sender.metric('pomelospar_report_datagrams_total{kind="sent_in_domain"')
        time.sleep(3)
        across = sender.metric('pomelospar_report_datagrams_total{kind="sent_across"') - across
        inside = sender.metric('pomelospar_report_datagrams_total{kind="sent_in_domain"') - inside
        # Two reports per second go to one router of the other domain. Reports of other routers are relayed
        # as well.
        self.assertGreaterEqual(across, 4)
        self.assertLessEqual(across, 8)
        self.assertGreater(inside, across)
        half = [r for r in self.routers if int(r.ip.split(".")[-1]) % 2 == 0]
        for router in half:
            router.process.kill()
            router.process.wait()
        left = [r for r in self.routers if r not in half]
        self.assertTrue(until(lambda: self.all_peers_known(left), PEER_EXPIRY_SECONDS))
        # No peer is lost later because a report went to a dead relay.
        for _ in range(4):
            time.sleep(1)
            self.assertTrue(self.all_peers_known(left))
        for router in half:
            router.start()
        self.assertTrue(until(lambda: self.all_peers_known(self.routers), DISCOVERY_SECONDS))

    # Guards against requests that fail or miss their objective because the coordinators of the engines were
    # killed, and against a large fleet that places without asking them.
    def test_coordinators_confirm_placements_and_may_die(self):
        for number in range(6):
            self.platform.add_runner(f"i-e{number}", "engines")
        self.assertTrue(until(lambda: self.all_peers_known(self.routers), DISCOVERY_SECONDS))
        time.sleep(RUNNER_DISCOVERY_SECONDS)
        self.send_to_all(self.routers, "before")
        proposals = 'pomelospar_placement_proposals_total{outcome="accepted"'
        accepted = [router.metric(proposals) for router in self.routers]
        self.assertGreater(sum(accepted), len(self.routers) / 2)
        half = [r for r in self.routers if int(r.ip.split(".")[-1]) % 2 == 0]
        for router in half:
            router.process.kill()
            router.process.wait()
        left = [r for r in self.routers if r not in half]
        for turn in range(3):
            self.send_to_all(left, f"after-{turn}")
        self.assertGreater(sum(r.metric('pomelospar_placement_proposals_total{outcome="unanswered"')
                               for r in left), 0)

    def send_to_all(self, routers, name):
        """Sends two requests to each router at once and checks that all begin within the objective."""
        results = []

        def call(router, number):
            begun = time.monotonic()
            status = router.send(f"{name}-{router.ip}-{number}", "/s/1")[0]
            results.append((status, time.monotonic() - begun))

        callers = [threading.Thread(target=call, args=(r, n)) for r in routers for n in range(2)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(20)
        self.assertEqual([status for status, _ in results], [200] * len(callers))
        self.assertLess(max(seconds for _, seconds in results), STREAM_SECONDS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
