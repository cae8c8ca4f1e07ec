"""Concurrent callers check that each response is their own and complete, while runners inject faults."""

import random
import threading
import time
import unittest

import fleet as f
import workload

CALLERS = 60
# Minimum and maximum time of fault injection. It continues after the minimum until enough responses were
# checked, because the rate depends on the processor time that the callers get.
MINIMUM_SECONDS = 8.0
MAXIMUM_SECONDS = 120.0
CHECKED_RESPONSES = 1000
FAULTS = ["truncate", "left_over", "wrong_length", "garbage_head", "close_before", "lose_answer"]


class ResponseIsolationTest(unittest.TestCase):
    # Guards against responses that reach another caller, left-over bytes of a connection that are read as
    # the next response, and truncated responses that look complete.
    def test_every_response_is_complete_and_the_callers_own(self):
        with f.Fleet() as fleet:
            fleet.start_platform()
            runners = []
            for index, domain in enumerate("abc"):
                runners += fleet.start_runners(
                    "engine_stand_in", f"engine{index}", [domain], 8, "--first_token_ms=2",
                    "--token_ms=1", "--slots=8", ports=2)
            fleet.start_routers(["a", "b", "c"])
            fleet.apply_and_wait(
                f.fleet_document({"atlas": {}}, [f.engine_upstream(runners)], f.STANDARD_ROUTES[:1]))
            stop = threading.Event()
            callers = [workload.ChatCaller(fleet, i, 1, stop) for i in range(CALLERS)]
            fault_random = random.Random(7)
            begun = time.monotonic()

            def checked_enough():
                return all(
                    sum(caller.outcomes.get(kind, 0) for caller in callers) > CHECKED_RESPONSES
                    for kind in ("answered", "stream"))

            while time.monotonic() < begun + MINIMUM_SECONDS or (
                    not checked_enough() and time.monotonic() < begun + MAXIMUM_SECONDS):
                runner = fault_random.choice(runners)
                fault = {"kind": fault_random.choice(FAULTS), "after": fault_random.randrange(5), "count": 2}
                f.request(runner["address"], "POST", "/control", {"fault": fault})
                time.sleep(0.02)
            stop.set()
            for caller in callers:
                caller.join(25)
            outcomes = {}
            for caller in callers:
                for outcome, count in caller.outcomes.items():
                    outcomes[outcome] = outcomes.get(outcome, 0) + count
            wrong = [message for caller in callers for message in caller.wrong]
            print(f"outcomes {outcomes} in {time.monotonic() - begun:.1f} s", flush=True)
            self.assertEqual(wrong, [])
            self.assertGreater(outcomes.get("answered", 0), CHECKED_RESPONSES)
            self.assertGreater(outcomes.get("stream", 0), CHECKED_RESPONSES)


if __name__ == "__main__":
    unittest.main(verbosity=2)
