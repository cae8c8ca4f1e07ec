"""Bookings run at most once while routers are killed or frozen, the store fails and responses are lost."""

import http.client
import os
import threading
import time
import unittest

import fleet as f
import history
import workload

# Each seed is one schedule of faults. Seeds that have failed stay in this list.
SEEDS = [int(s) for s in os.environ.get("POMELOSPAR_SEEDS", "1,2,3,4").split(",")]
SCHEDULE_SECONDS = 6.0


class AtMostOnceTest(unittest.TestCase):
    def run_schedule(self, seed):
        with f.Fleet() as fleet:
            fleet.start_platform()
            history_files = [fleet.folder / f"runs-{index}.jsonl" for index in range(2)]
            services = []
            for index, path in enumerate(history_files):
                # Two ports in one process: a crash closes a port and keeps the history.
                process = fleet.run(
                    f"service-{index}",
                    [f.BINARIES / "service_stand_in", "--ports=2", f"--history={path}",
                     "--restart_after_ms=300"],
                )
                for address in process.announcement["addresses"]:
                    services.append({"address": address, "domain": "ab"[index], "slots": 4})
            fleet.start_routers(["a", "a", "b", "b"])
            fleet.apply_and_wait(
                f.fleet_document({"atlas": {}}, [f.service_upstream(services)],
                                 f.STANDARD_ROUTES[1:], limits={"queue_timeout": "3s"})
            )
            stop = threading.Event()
            booking_callers = [workload.BookingCaller(fleet, index, seed, stop) for index in range(12)]
            faults = workload.FaultInjector(fleet, services, seed)
            deadline = time.monotonic() + SCHEDULE_SECONDS
            while time.monotonic() < deadline:
                try:
                    faults.step()
                except (OSError, http.client.HTTPException):
                    pass  # A crashed service refuses its own control request.
                time.sleep(faults.random.uniform(0.05, 0.4))
            faults.heal()
            time.sleep(1.0)
            stop.set()
            for booking_caller in booking_callers:
                booking_caller.join(10)
            calls = [call for booking_caller in booking_callers for call in booking_caller.calls]
            runs = history.read_runs(path for path in history_files if path.exists())
            return calls, runs

    # Guards against a booking that runs twice, one that ran although it was reported as not run, and a
    # response that belongs to another booking, when faults come in random order.
    def test_schedules(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                calls, runs = self.run_schedule(seed)
                outcomes = {}
                for call in calls:
                    outcomes[call.outcome] = outcomes.get(call.outcome, 0) + 1
                print(f"seed {seed}: {len(calls)} calls {outcomes}, {len(runs)} runs", flush=True)
                self.assertEqual(history.violations(calls, runs), [])
                # Without answered bookings the checks above would pass trivially.
                self.assertGreater(outcomes.get("answered", 0), 50)


class CheckerTest(unittest.TestCase):
    # Guards against a history checker that misses a kind of violation.
    def test_each_violation_is_found(self):
        answered = history.Call("k", "b", 200, "answered", b"k")
        self.assertEqual(history.violations([answered], [("k", "h")]), [])
        bad = [
            ([answered], [("k", "h"), ("k", "h")]),
            ([history.Call("k", "b", 503, "not_run")], [("k", "h")]),
            ([answered], []),
            ([history.Call("k", "b", 200, "answered", b"other")], [("k", "h")]),
            ([answered, history.Call("k", "b", 200, "answered", b"k again")], [("k", "h")]),
            ([], [("k", "h")]),
        ]
        for calls, runs in bad:
            self.assertTrue(history.violations(calls, runs), (calls, runs))


if __name__ == "__main__":
    unittest.main(verbosity=2)
