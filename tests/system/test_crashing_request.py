"""A request that crashes every runner that executes it, repeated through every router."""

import http.client
import threading
import time
import unittest

import fleet as f

MARKER = "crash-the-engine"
# A request fingerprint is quarantined after two crashes. Routers that execute it at the same time can
# lose one runner each before they learn of each other's crashes.
CRASH_LIMIT = 2


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        # A failure below must not leave processes behind.
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.runners = []
        for index, domain in enumerate(["a", "b"]):
            self.runners += self.fleet.start_runners(
                "engine_stand_in", f"engine{index}", [domain], 4,
                f"--crash_marker={MARKER}", "--restart_after_ms=400", ports=3)
        self.routers = self.fleet.start_routers(["a", "a", "b"])
        self.fleet.apply_and_wait(
            f.fleet_document({"atlas": {}, "riad": {}}, [f.engine_upstream(self.runners)],
                             f.STANDARD_ROUTES[:1])
        )

    def crashes(self):
        addresses = {runner["address"] for runner in self.runners}
        total = 0
        for address in addresses:
            def read(a=address):
                return f.get_json(a, "/control/statistics")
            total += f.wait_until(read, 5, "statistics")["crashes"]
        return total

    # Guards against a request that crashes one runner after another, against other requests that are
    # lost or quarantined with it, and against a refusal without the right status and outcome.
    def test_losses_are_bounded_and_innocent_requests_survive(self):
        stop = threading.Event()
        wrong = []
        answered = []

        def innocent(index):
            number = 0
            while not stop.is_set():
                number += 1
                body = f.chat_body("reply to a family", 40, nonce=f"i{index}-{number}")
                router = self.routers[(index + number) % 3]
                status, headers, content = router.post("/v1/chat/completions", body, "riad")
                if status == 200 and f"i{index}-{number}".encode() in content:
                    answered.append(number)
                else:
                    wrong.append((status, headers.get("pomelospar-outcome"), content[:200]))

        threads = [f.Background(innocent, index) for index in range(6)]
        f.wait_until(lambda: len(answered) > 10, 10, "innocent requests run")
        culprit = f.chat_body(f"please {MARKER}", 20)
        statuses = []
        for attempt in range(9):
            try:
                status, headers, content = self.routers[attempt % 3].post(
                    "/v1/chat/completions", culprit, "atlas")
                statuses.append((status, headers["pomelospar-outcome"]))
            except (OSError, http.client.HTTPException) as error:
                statuses.append((0, repr(error)))
        time.sleep(0.5)
        stop.set()
        for thread in threads:
            thread.join_result()
        crashes = self.crashes()
        print(f"crashes {crashes}, culprit {statuses}, innocent answered {len(answered)}", flush=True)
        self.assertLessEqual(crashes, CRASH_LIMIT)
        self.assertEqual(statuses[-1], (422, "not_run"))
        self.assertEqual(wrong, [])
        # Every router knows the quarantine, and an operator can end it on any router.
        status, listed = self.routers[1].admin_call("GET", "/v1/quarantine")
        self.assertEqual(status, 200)
        fingerprints = [entry["fingerprint"] for entry in listed["quarantine"]]
        self.assertEqual(len(fingerprints), 1, listed)
        status, _ = self.routers[2].admin_call("DELETE", "/v1/quarantine/" + fingerprints[0])
        self.assertEqual(status, 200)

        def cleared():
            listed = self.routers[0].admin_call("GET", "/v1/quarantine")[1]
            return listed["quarantine"] == []

        f.wait_until(cleared, 3, "the quarantine is cleared on every router")


if __name__ == "__main__":
    unittest.main(verbosity=2)
