"""Configuration changes with concurrent operators, platform outages, router restarts and partitions."""

import json
import os
import unittest

import fleet as f


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        # A failure below must not leave processes behind.
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        self.runners = self.fleet.start_runners("engine_stand_in", "engine", ["a"], 4)
        self.routers = self.fleet.start_routers(["a", "a", "b", "b", "c"])
        self.fleet.apply_and_wait(self.document(1.0))

    def document(self, share):
        return f.fleet_document(
            {"atlas": {"share": share}, "riad": {}},
            [f.engine_upstream(self.runners)],
            f.STANDARD_ROUTES[:1],
        )

    def generation(self, router):
        return router.status()["generation"]

    # Guards against two operators who both succeed with a change of the same generation, and against a
    # conflict response that does not list what has changed.
    def test_racing_operators(self):
        base = self.generation(self.routers[0])
        documents = [self.document(2.0 + index) for index in range(4)]
        calls = [
            f.Background(
                lambda r, d: self.fleet.apply(d, r, expect_generation=base), router, document
            )
            for router, document in zip(self.routers, documents)
        ]
        answers = [call.join_result() for call in calls]
        statuses = sorted(status for status, _ in answers)
        self.assertEqual(statuses, [200, 409, 409, 409], answers)
        for status, answer in answers:
            if status == 409:
                self.assertEqual(answer["current_generation"], base + 1)
                self.assertTrue(answer["changes"])
        for router in self.routers:
            f.wait_until(
                lambda r=router: self.generation(r) == base + 1, 2, f"{router.name} follows"
            )

    # Guards against a file that is applied in part although one of its lines is invalid.
    def test_invalid_file_changes_nothing(self):
        base = self.generation(self.routers[0])
        wrong = self.document(7.0).replace('upstreams = ["engine"]', 'upstreams = ["engin"]')
        status, answer = self.fleet.apply(wrong)
        self.assertEqual(status, 422)
        self.assertTrue(all(d["line"] > 0 and d["remedy"] for d in answer["diagnostics"]))
        self.assertEqual(self.generation(self.routers[0]), base)

    # Guards against `expect_generation` or `dry_run` being ignored if the value has the wrong type.
    def test_wrong_types_are_refused(self):
        base = self.generation(self.routers[0])
        for field, value in (("expect_generation", "1"), ("expect_generation", -1),
                             ("dry_run", "yes")):
            status, answer = self.fleet.apply(self.document(8.0), **{field: value})
            self.assertEqual(status, 400, answer)
        self.assertEqual(self.generation(self.routers[0]), base)

    # Guards against a change that is applied twice because the operator repeats it after a lost response.
    def test_lost_answer_is_settled_by_the_apply_identifier(self):
        base = self.generation(self.routers[0])
        self.fleet.platform_faults(lose_commit_responses=1)
        identifier = os.urandom(8).hex()
        status, answer = self.fleet.apply(self.document(3.0), apply_identifier=identifier)
        self.assertIn(status, (200, 504), answer)
        status, again = self.fleet.apply(self.document(3.0), apply_identifier=identifier)
        self.assertEqual(status, 200, again)
        f.wait_until(lambda: self.generation(self.routers[1]) > base, 3, "in force")
        history = self.routers[1].admin_call("GET", "/v1/configuration/history?limit=10")[1]
        applied = [e for e in history["changes"] if e["apply_identifier"] == identifier]
        self.assertEqual(len(applied), 1, history)

    # Guards against a router that reverts, or never becomes ready, when it restarts without state
    # while the platform is down; and against an apply that is reported as done while it is down.
    def test_restart_while_the_platform_is_down(self):
        self.fleet.apply(self.document(4.0))
        generation = self.generation(self.routers[0])
        for router in self.routers:
            f.wait_until(lambda r=router: self.generation(r) >= generation, 3, "in force")
        self.fleet.platform_faults(outage="reject")
        status, answer = self.fleet.apply(self.document(5.0))
        self.assertIn(status, (503, 504), answer)
        victim = self.routers[2]
        victim.kill()
        victim.start()
        f.wait_until(victim.ready, 15, "restarted router is ready from its peers")
        self.assertGreaterEqual(self.generation(victim), generation)
        body = f.chat_body("x")
        status, _, content = victim.post("/v1/chat/completions", body, "atlas")
        self.assertEqual(status, 200, content)
        self.fleet.platform_faults(outage="none")

    # Guards against routers of a partitioned domain that do not keep their generation, or do not get
    # the current one after the partition heals.
    def test_partitioned_domain_catches_up_and_never_reverts(self):
        inside = [r for r in self.routers if r.domain == "b"]
        outside = [r for r in self.routers if r.domain != "b"]
        for router in inside:
            router.block_peers(outside, platform=True)
        for router in outside:
            router.block_peers(inside)
        base = self.generation(self.routers[0])
        status, answer = self.fleet.apply(self.document(6.0))
        self.assertEqual(status, 200, answer)
        for router in outside:
            f.wait_until(lambda r=router: self.generation(r) == base + 1, 3, "outside follows")
        for router in inside:
            self.assertEqual(self.generation(router), base)
        for router in self.routers:
            router.block_peers([])
        for router in inside:
            f.wait_until(lambda r=router: self.generation(r) == base + 1, 13, "inside follows")

    # Guards against a change that takes longer than 2 s to be in force on every router while the
    # platform is slow, and against a router that ever shows a lower generation than before.
    def test_in_force_everywhere_in_two_seconds(self):
        self.fleet.platform_faults(delay_ms=100)
        for share in (2.0, 3.0, 4.0):
            status, answer = self.fleet.apply(self.document(share))
            self.assertEqual(status, 200, answer)
            seen = {router.name: 0 for router in self.routers}

            def in_force(generation=answer["generation"], seen=seen):
                for router in self.routers:
                    now = self.generation(router)
                    self.assertGreaterEqual(now, seen[router.name])
                    seen[router.name] = now
                return all(value >= generation for value in seen.values())

            f.wait_until(in_force, 2, "in force on every router")

    # Guards against a rollback that lowers the generation.
    def test_rollback_is_a_new_generation(self):
        first = self.generation(self.routers[0])
        status, answer = self.fleet.apply(self.document(9.0))
        self.assertEqual(status, 200)
        body = {"generation": first, "apply_identifier": os.urandom(8).hex(), "operator": "test"}
        status, answer = self.routers[0].admin_call("POST", "/v1/configuration/rollback", body)
        self.assertEqual(status, 200, answer)
        self.assertEqual(answer["generation"], first + 2)
        current = self.routers[0].admin_call("GET", "/v1/configuration")[1]
        self.assertIn('"share":1.0', json.dumps(current).replace(" ", "").replace("\\", ""))


if __name__ == "__main__":
    unittest.main(verbosity=2)
