"""A runner that is back at its address under a new identifier and sends each of its refusals twice."""

import json
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import KEY, Router, until  # noqa: E402
from table_platform import Platform  # noqa: E402

ROUNDS = 5
BOOKINGS_AFTER_THE_REFUSAL = 4


class RepeatedRefusalsTest(unittest.TestCase):
    # Guards against a second copy of a 421 that is taken for the response to the next send on the same
    # connection: the caller is told that its booking did not run while the runner executes it, or the
    # booking is sent to a further runner and executed twice.
    def test_a_late_copy_of_a_refusal_belongs_to_no_other_send(self):
        for attempts in (2, 3):
            for copies in ("named", "unnamed"):
                with self.subTest(attempts=attempts, copies=copies):
                    self.check(attempts, copies)

    def check(self, attempts, copies):
        platform = Platform()
        route = {"name": "once", "prefix": "/once/", "route-kind": "non_idempotent", "timeout-ms": 1000}
        platform.configure(3, [KEY], [route | {"service": "desk", "max-attempts": attempts}])
        runner = platform.add_runner("i-new", "desk")
        runner.repeats_421 = copies
        runners = [runner] + [platform.add_runner(f"i-other{n}", "desk") for n in range(attempts - 2)]
        router = Router(platform.store_port)
        self.addCleanup(router.end)
        self.assertTrue(until(router.is_ready, 5))
        sent = 0
        for round_number in range(ROUNDS):
            # The entry of the earlier run at the same address; a changed entry is tried again.
            entry = json.loads(runner.entry()) | {"born": round_number + 1}
            platform.put("servers", "i-earlier", json.dumps(entry).encode())
            bookings = []

            def book():
                bookings.append(f"{copies}-{attempts}-{sent + len(bookings)}")
                status = router.send(bookings[-1], "/once/1")[0]
                runs = [run for r in runners for run in r.executed]
                runs = [run for run in runs if run["headers"]["x-attempt-id"] == bookings[-1]]
                self.assertEqual((status, len(runs)), (200, 1), bookings[-1])

            def was_misdirected():
                book()
                asked = {r["headers"]["x-attempt-id"] for r in runner.requests
                         if r["headers"]["x-expect-instance"] == "i-earlier"}
                return not asked.isdisjoint(bookings)

            self.assertTrue(until(was_misdirected, 5), "no booking was sent to the earlier run")
            for _ in range(BOOKINGS_AFTER_THE_REFUSAL):
                book()
            sent += len(bookings)
        router.end()


if __name__ == "__main__":
    unittest.main()
