"""The price of leaving a failure domain, with the real router against the platform stand-in."""

import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import KEY, Router, until  # noqa: E402
from table_platform import Platform  # noqa: E402

LIMITS = "max-fds = 4100\n"
# The port for metrics is fixed, so the router gets an address that no other test uses.
ADDRESS = "127.0.41.1"


class LeavingADomainTest(unittest.TestCase):
    """One router of domain `a`, with an engine and a plain service in each of two failure domains."""

    def setUp(self):
        self.platform = Platform()
        self.platform.configure(3, [KEY])
        for domain in ("a", "b"):
            for kind in ("engines", "desk"):
                self.platform.add_runner(f"i-{domain}-{kind}", kind, domain).execution_seconds = 0.05
        self.router = Router(self.platform.store_port, ip=ADDRESS)
        self.addCleanup(self.router.end)
        self.assertTrue(until(self.router.is_ready, 5))
        self.count = 0

    def set_price(self, price):
        with open(self.router.settings_path, encoding="utf-8") as file:
            document = file.read()
        before = self.count_lines("settings_reloaded") + self.count_lines("settings_rejected")
        with open(self.router.settings_path, "w", encoding="utf-8") as file:
            file.write(document.replace(LIMITS, f"{LIMITS}cross-domain-ms-per-mib = {price}\n"))
        self.assertTrue(
            until(
                lambda: self.count_lines("settings_reloaded") + self.count_lines("settings_rejected") > before, 5
            )
        )

    def count_lines(self, message, **fields):
        return sum(
            line["message"] == message and all(line.get(name) == value for name, value in fields.items())
            for line in self.router.log_lines()
        )

    def send_at_once(self, requests=8):
        def send(number):
            prompt = {"X-Prompt-Prefix": f"{number:x}:900"}
            self.router.send(f"attempt-{number}", "/l/1", "GET", headers=prompt)
            self.router.send(f"attempt-s{number}", "/s/1", headers=prompt)

        threads = [threading.Thread(target=send, args=(self.count + i,)) for i in range(requests)]
        self.count += requests
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def sent_to(self, domain, metric="requests"):
        return self.router.metric(f'pomelospar_domain_{metric}_total{{from="a",to="{domain}"}}')

    # Guards against a deployment without the setting that is placed by the home-first rule.
    def test_without_a_price_requests_leave_for_a_small_gain(self):
        self.send_at_once()
        self.assertGreater(self.sent_to("b"), 0)
        self.assertGreater(self.sent_to("b", "bytes"), 0)
        self.assertTrue(until(lambda: self.count_lines("request") >= self.count, 5))
        self.assertEqual(self.count_lines("domain_regime"), 0)

    # Guards against requests that leave although their bytes cost more than their callers gain.
    def test_with_a_high_price_requests_stay_while_their_domain_has_room(self):
        self.set_price("1e9")
        for _ in range(3):
            self.send_at_once()
        self.assertEqual(self.sent_to("b"), 0)
        self.assertGreater(self.sent_to("a"), 0)
        self.platform.put("op", "evacuate/a", b"{}")
        self.assertTrue(until(lambda: self.count_lines("evacuation") > 0, 5))
        self.send_at_once()
        self.assertGreater(self.sent_to("b"), 0)
        # The log is written four times a second.
        self.assertTrue(
            until(lambda: self.count_lines("domain_regime", regime="some_leave", reason="no_room") > 0, 5)
        )

    # Guards against a wrong price that changes what is in force.
    def test_a_wrong_price_is_rejected(self):
        self.set_price("-1")
        rejected = [line for line in self.router.log_lines() if line["message"] == "settings_rejected"]
        self.assertIn("cross-domain-ms-per-mib", rejected[0]["error"])
        self.send_at_once()
        self.assertGreater(self.sent_to("b"), 0)


if __name__ == "__main__":
    unittest.main()
