"""Runners that are drained and routers that shut down, while the platform is up or down."""

import http.client
import json
import signal
import threading
import time
import unittest

import fleet as f

# The guarantee is "no new work after a few seconds"; the tests allow 3 s.
LEAVING_SECONDS = 3.0


class Load(threading.Thread):
    """Sends chats through all routers in turn until stopped; keeps statuses and failures."""

    def __init__(self, routers, tokens=5, workspace="atlas"):
        super().__init__(daemon=True)
        self.routers, self.tokens, self.workspace = routers, tokens, workspace
        self.stop_event = threading.Event()
        self.statuses, self.failures = [], []
        self.start()

    def run(self):
        index = 0
        while not self.stop_event.is_set():
            index += 1
            body = f.chat_body("x", self.tokens, nonce=f"n{index}")
            try:
                router = self.routers[index % len(self.routers)]
                status, _, content = router.post("/v1/chat/completions", body, self.workspace)
                self.statuses.append(status)
                if status != 200:
                    self.failures.append(content)
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(repr(error))

    def finish(self):
        self.stop_event.set()
        self.join(20)


class DrainAndShutdownTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        # A failure below must not leave processes behind.
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.runners = self.fleet.start_runners("engine_stand_in", "engine", ["a", "b", "a"], 4)
        self.routers = self.fleet.start_routers(["a", "a", "b"])
        self.fleet.apply_and_wait(
            f.fleet_document({"atlas": {}}, [f.engine_upstream(self.runners)], f.STANDARD_ROUTES[:1])
        )

    def started(self, runner):
        return f.get_json(runner["address"], "/control/statistics")["started"]

    def check_no_new_work(self, runner, leave):
        loads = [Load(self.routers) for _ in range(6)]
        f.wait_until(lambda: self.started(runner) > 5, 5, "the runner works before it leaves")
        leave()
        time.sleep(LEAVING_SECONDS)
        before = self.started(runner)
        time.sleep(1.5)
        after = self.started(runner)
        for load in loads:
            load.finish()
        self.assertEqual(after, before, "the leaving runner got new work")
        for load in loads:
            self.assertEqual(load.failures, [])
            self.assertGreater(len(load.statuses), 10)

    def list_instance(self, runner, status):
        incarnation = f.get_json(runner["address"], "/load")["incarnation"]
        change = {"set": [{"address": runner["address"], "domain": runner["domain"],
                           "role": "engine", "status": status, "incarnation": str(incarnation),
                           "slots": runner["slots"]}]}
        status, _, body = f.request(
            self.fleet.platform_address, "POST", "/control/instances", change)
        self.assertIn(status, (200, 204), body)

    # Guards against new work for a runner that the platform's instance list marks as leaving.
    def test_instance_list(self):
        runner = self.runners[0]
        self.check_no_new_work(runner, lambda: self.list_instance(runner, "leaving"))

    # Guards against an operator's drain that fails while the platform is down.
    def test_operator_drain_with_the_platform_down(self):
        runner = self.runners[1]

        def leave():
            self.fleet.platform_faults(outage="reject")
            status, answer = self.routers[0].admin_call(
                "POST", "/v1/runners/drain", {"address": runner["address"]})
            self.assertEqual(status, 200, answer)

        self.check_no_new_work(runner, leave)
        status, _ = self.routers[2].admin_call(
            "POST", "/v1/runners/undrain", {"address": runner["address"]})
        self.assertEqual(status, 200)
        before = self.started(runner)
        load = Load(self.routers)
        f.wait_until(lambda: self.started(runner) > before, 5, "work after undrain")
        load.finish()

    # Guards against a runner's own leaving notice that does not reach all routers while the platform is down.
    def test_runner_says_it_is_leaving_with_the_platform_down(self):
        runner = self.runners[2]

        def leave():
            self.fleet.platform_faults(outage="hang")
            f.request(runner["address"], "POST", "/control", {"leaving": True})

        self.check_no_new_work(runner, leave)

    # Guards against a shutdown by SIGTERM that truncates streams or drops queued requests, and against
    # a process that does not end.
    def test_sigterm_under_load_completes_all_requests(self):
        victim = self.routers[0]
        total_slots = sum(runner["slots"] for runner in self.runners)

        def long_stream(index):
            body = f.chat_body("x", 300, stream=True, nonce=f"long-{index}")
            status, _, content = victim.post("/v1/chat/completions", body, "atlas", timeout=60)
            whole = content.endswith(b"data: [DONE]\n\n") and f"long-{index}".encode() in content
            return status, whole, b"" if whole else content

        def accepted():
            status = victim.status()
            return status["running_requests"] + status["queued_requests"]

        # Twice as many as there are slots, so that half of them are queued when SIGTERM arrives.
        calls = [f.Background(long_stream, index) for index in range(2 * total_slots)]
        # A request that arrives after the signal is refused, so all have to be accepted before it.
        f.wait_until(lambda: accepted() == len(calls), 5, "all requests accepted")
        self.assertGreaterEqual(victim.status()["queued_requests"], total_slots // 2)
        victim.process.signal(signal.SIGTERM)
        time.sleep(0.3)
        self.assertNotEqual(f.request(victim.admin, "GET", "/readyz", timeout=2)[0], 200)
        for call in calls:
            self.assertEqual(call.join_result(), (200, True, b""))
        self.assertEqual(victim.process.wait(10), 0, victim.process.log()[-2000:])

    # Guards against lost requests when the router with the allocator of the busy shard shuts down and
    # a second router is killed during the hand-over.
    def test_second_failure_during_hand_over(self):
        survivor = self.routers[2]

        def stream(index):
            body = f.chat_body("x", 60, stream=True, nonce=f"s-{index}")
            status, _, content = survivor.post("/v1/chat/completions", body, "atlas", timeout=60)
            return status, content.endswith(b"data: [DONE]\n\n")

        calls = [f.Background(stream, index) for index in range(40)]
        time.sleep(0.2)
        self.routers[0].process.signal(signal.SIGTERM)
        time.sleep(0.1)
        self.routers[1].kill()
        for call in calls:
            self.assertEqual(call.join_result(), (200, True))


if __name__ == "__main__":
    unittest.main(verbosity=2)
