"""Random, overlapping faults of all kinds in two rounds, after which all guarantees are checked.

POMELOSPAR_SEEDS=1,2,3 and POMELOSPAR_SECONDS=60 select other seeds or a longer time.
"""

import http.client
import os
import random
import signal
import threading
import time
import unittest

import fleet as f
import history
import workload

SEEDS = [int(s) for s in os.environ.get("POMELOSPAR_SEEDS", "11,12").split(",")]
SECONDS = float(os.environ.get("POMELOSPAR_SECONDS", "10"))


class CombinedFaultInjector(workload.FaultInjector):
    """Adds partitions between domains, shutdowns, configuration changes and engine faults."""

    def __init__(self, fleet, services, engines, document, seed):
        super().__init__(fleet, services, seed)
        self.engines, self.document = engines, document
        self.stopped = []
        self.applied = 0

    def step(self):
        if self.random.random() < 0.5:
            super().step()
            return
        self.random.choice([self.partition_domain, self.stop_gracefully, self.apply, self.apply,
                            self.engine_fault, self.heal_partitions])()

    def partition_domain(self):
        domain = self.random.choice("abc")
        inside = [r for r in self.routers() if r.domain == domain]
        outside = [r for r in self.routers() if r.domain != domain]
        for router in inside:
            router.block_peers(outside, platform=self.random.random() < 0.5)
        for router in outside:
            router.block_peers(inside)

    def heal_partitions(self):
        for router in self.routers():
            if router not in self.paused:
                # A router that has just been started may not listen yet.
                f.wait_until(lambda r=router: r.block_peers([]) is None, 10, f"{router.name} takes a call")

    def stop_gracefully(self):
        running = [r for r in self.routers() if r not in self.paused]
        if len(running) > 3 and not self.stopped:
            router = self.random.choice(running)
            router.process.signal(signal.SIGTERM)
            self.stopped.append(router)

    def apply(self):
        candidates = [r for r in self.routers() if r not in self.paused]
        router = self.random.choice(candidates)
        status, _ = self.fleet.apply(self.document(1.0 + self.random.random()), router)
        self.applied += status == 200

    def engine_fault(self):
        fault = {"kind": self.random.choice(["truncate", "crash", "left_over", "close_before"]),
                 "after": 2, "count": 2}
        address = self.random.choice(self.engines)["address"]
        f.request(address, "POST", "/control", {"fault": fault}, timeout=2)

    def heal(self):
        super().heal()
        for router in self.stopped:
            try:
                router.process.wait(10)
            except Exception:  # pylint: disable=broad-except
                continue
            router.start()
            self.stopped.remove(router)
            break


class GenerationWatch(threading.Thread):
    """Records each time that an incarnation of a router reports a lower generation than before."""

    def __init__(self, fleet, stop):
        super().__init__(daemon=True)
        self.fleet, self.stop = fleet, stop
        self.highest, self.reverts = {}, []
        self.start()

    def run(self):
        while not self.stop.is_set():
            for router in list(self.fleet.routers.values()):
                try:
                    status, view = router.admin_call("GET", "/v1/status", timeout=0.5)
                except (OSError, http.client.HTTPException):
                    continue
                if status != 200 or view["lifecycle"] == "starting":
                    continue
                key = (router.name, view["incarnation"])
                if view["generation"] < self.highest.get(key, 0):
                    self.reverts.append((key, self.highest[key], view["generation"]))
                self.highest[key] = max(view["generation"], self.highest.get(key, 0))
            time.sleep(0.05)


class CombinedFaultsTest(unittest.TestCase):
    def run_seed(self, seed):
        with f.Fleet() as fleet:
            fleet.start_platform()
            paths = [fleet.folder / f"runs-{index}.jsonl" for index in range(2)]
            services, engines = [], []
            for index, path in enumerate(paths):
                process = fleet.run(
                    f"service-{index}",
                    [f.BINARIES / "service_stand_in", "--ports=2", f"--history={path}",
                     "--restart_after_ms=300"])
                services += [{"address": a, "domain": "ab"[index], "slots": 4}
                             for a in process.announcement["addresses"]]
            for index, domain in enumerate("abc"):
                engines += fleet.start_runners(
                    "engine_stand_in", f"engine{index}", [domain], 4, "--first_token_ms=5",
                    "--token_ms=2", "--restart_after_ms=300", ports=2)

            def document(share):
                return f.fleet_document(
                    {"atlas": {"share": share}},
                    [f.engine_upstream(engines), f.service_upstream(services)],
                    f.STANDARD_ROUTES, limits={"queue_timeout": "4s"})

            fleet.start_routers(["a", "a", "b", "b", "c", "c"])
            fleet.apply_and_wait(document(1.0))
            stop = threading.Event()
            watch = GenerationWatch(fleet, stop)
            booking_callers = [workload.BookingCaller(fleet, index, seed, stop) for index in range(8)]
            chats = [workload.ChatCaller(fleet, index, seed, stop) for index in range(8)]
            faults = CombinedFaultInjector(fleet, services, engines, document, seed)
            # The second round starts on a fleet that has just recovered.
            for _ in range(2):
                deadline = time.monotonic() + SECONDS / 2
                while time.monotonic() < deadline:
                    try:
                        faults.step()
                    except (OSError, http.client.HTTPException):
                        pass  # The target of the fault is down or frozen.
                    time.sleep(faults.random.uniform(0.05, 0.5))
                faults.heal()
                faults.heal_partitions()
            self.check_recovery(fleet, faults, document)
            stop.set()
            for thread in booking_callers + chats:
                thread.join(25)
            return ([c for b in booking_callers for c in b.calls],
                    history.read_runs(p for p in paths if p.exists()),
                    [s for c in chats for s in c.wrong], watch.reverts,
                    sum(c.outcomes.get("answered", 0) + c.outcomes.get("stream", 0) for c in chats))

    def check_recovery(self, fleet, faults, document):
        """Checks that every router becomes ready and takes over a new configuration after the faults."""
        for router in fleet.routers.values():
            if router.process.child.poll() is not None:
                router.start()
        fleet.wait_ready(20)
        status, answer = f.wait_until(
            lambda: (lambda r: r if r[0] == 200 else None)(fleet.apply(document(5.0))),
            10, "an apply after the faults")
        for router in fleet.routers.values():
            f.wait_until(lambda r=router: r.status()["generation"] >= answer["generation"], 13,
                         f"{router.name} follows after the faults")

    # Guards against guarantees that hold under one kind of fault but not under several at once.
    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                print(f"seed {seed}", flush=True)
                calls, runs, wrong, reverts, answered = self.run_seed(seed)
                print(f"seed {seed}: {len(calls)} bookings, {len(runs)} runs, "
                      f"{answered} chats answered", flush=True)
                self.assertEqual(history.violations(calls, runs), [])
                self.assertEqual(wrong, [])
                self.assertEqual(reverts, [])
                self.assertGreater(answered, 100)


if __name__ == "__main__":
    unittest.main(verbosity=2)
