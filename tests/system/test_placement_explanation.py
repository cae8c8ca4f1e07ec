"""Explanations of placements, with the real router and pomelosparctl against the platform stand-in."""

import http.client
import json
import os
import subprocess
import sys
import time
import unittest
import urllib.parse

sys.path.insert(0, os.path.dirname(__file__))
from fleet import BINARIES  # noqa: E402
from platform_router import KEY, METRICS_PORT, Router, until  # noqa: E402
from table_platform import Platform  # noqa: E402

# No other test starts a router here: the metrics port is fixed, and a router that cannot bind it serves
# without explanations.
ROUTER_IP = "127.0.0.77"
EVACUATION_LIMIT = 5.0
# Of all explanations of a router together.
MOST_PER_SECOND = 10


class PlacementExplanationTest(unittest.TestCase):
    """One router with two engines and two plain services in each of two failure domains."""

    def setUp(self):
        self.platform = Platform()
        self.platform.configure(3, [KEY])
        self.runners = [
            self.platform.add_runner(f"i-{domain}-{kind}-{number}", kind, domain)
            for domain in "ab"
            for kind in ("engines", "desk")
            for number in (1, 2)
        ]
        self.router = Router(self.platform.store_port, ROUTER_IP)
        self.addCleanup(self.router.end)
        self.assertTrue(until(self.router.is_ready, 5))

    def ask(self, path="/s/1", **fields):
        """Returns the status and the document of an explanation."""
        fields = {"host": "a.example", "path": path, "workspace": "hule"} | fields
        query = urllib.parse.urlencode({name.replace("_", "-"): value for name, value in fields.items()})
        connection = http.client.HTTPConnection(self.router.ip, METRICS_PORT, timeout=2)
        connection.request("GET", f"/explain?{query}")
        answer = connection.getresponse()
        document = json.loads(answer.read())
        connection.close()
        return answer.status, document

    def place(self, *arguments):
        command = [BINARIES / "pomelosparctl", "place", f"--server={self.router.ip}:{METRICS_PORT}", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=10, check=False)

    def served(self):
        return {runner.identifier: len(runner.requests) for runner in self.runners}

    def sent_to(self, attempt, path, parts, method):
        before = self.served()
        status = self.router.send(attempt, path, method, headers={"X-Prompt-Prefix": parts})[0]
        self.assertEqual(status, 200)
        return [name for name, count in self.served().items() if count > before[name]]

    # Guards against an explanation that decides otherwise than the router does, and one that is noticed by
    # a runner or counted.
    def test_names_the_runner_that_the_next_request_reaches(self):
        chosen = set()
        for number in range(16):
            # Every second prompt begins like the one before, so that caches matter too.
            parts = f"{number // 2 + 1:x}:500,{number + 256:x}:500"
            path, method = ("/l/1", "GET") if number % 4 == 3 else ("/s/1", "POST")
            attempt = f"attempt-{number}"
            before = self.served(), self.router.metric("pomelospar_requests_total")
            status, answer = self.ask(
                path, method=method, attempt=attempt, parts=parts, tokens="1000,40", deadline_ms=5000, body="asked"
            )
            self.assertEqual((status, answer["decision"]["outcome"]), (200, "runner"), answer)
            self.assertEqual(before, (self.served(), self.router.metric("pomelospar_requests_total")))
            runner = answer["decision"]["runner"]
            self.assertEqual(self.sent_to(attempt, path, parts, method), [runner], answer)
            chosen.add(runner)
            time.sleep(1 / MOST_PER_SECOND)
        self.assertGreater(len(chosen), 2)

    # Guards against a runner of an evacuated domain that is named as the destination, and against a wrong
    # reason when no domain is left.
    def test_explains_an_evacuated_domain(self):
        self.platform.put("op", "evacuate/a", b"{}")
        time.sleep(EVACUATION_LIMIT)
        _, answer = self.ask(tokens="1000,40")
        reasons = {runner["id"]: runner.get("reason") for runner in answer["runners"]}
        expected = {f"i-{d}-engines-{n}": r for d, r in (("a", "evacuated"), ("b", None)) for n in (1, 2)}
        self.assertEqual(reasons, expected)
        self.assertEqual(answer["decision"]["domain"], "b")
        self.assertEqual(answer["decision"]["reason"], "leaves_domain")
        self.assertEqual(answer["decision"]["leaving_reason"], "no_room")
        self.platform.put("op", "evacuate/b", b"{}")
        time.sleep(EVACUATION_LIMIT)
        refusal = self.ask("/l/1")[1]["decision"]
        status, _, body = self.router.send("refused", "/l/1", "GET")
        self.assertEqual((refusal["outcome"], refusal["status"]), ("refusal", status))
        self.assertEqual(refusal["reason"], json.loads(body)["error"])

    # Guards against a command that hides the decision or the name of a wrong field, and against explanations
    # without limit, which would take the time of requests.
    def test_the_command_prints_the_decision_and_explanations_are_limited(self):
        printed = self.place("a.example", "/s/1", "workspace=hule", "tokens=1000,40")
        self.assertEqual(printed.returncode, 0, printed.stderr)
        self.assertIn("decision.runner", printed.stdout)
        for runner in self.runners:
            self.assertEqual(runner.identifier in printed.stdout, runner.service == "engines")
        raw = self.place("--json", "a.example", "/none")
        self.assertEqual(json.loads(raw.stdout)["decision"]["status"], 404)
        wrong = self.place("a.example", "/s/1", "deadline-ms=soon")
        self.assertNotEqual(wrong.returncode, 0)
        self.assertIn("deadline-ms", wrong.stderr)
        time.sleep(1)
        statuses = [self.ask()[0] for _ in range(3 * MOST_PER_SECOND)]
        self.assertEqual(statuses[:MOST_PER_SECOND], [200] * MOST_PER_SECOND)
        self.assertIn(503, statuses)
        self.assertGreater(self.router.metric("pomelospar_store_calls_total"), 0)


if __name__ == "__main__":
    unittest.main()
