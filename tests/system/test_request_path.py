"""The path of a request from the caller to a runner and back, with valid and invalid input."""

import http.client
import json
import socket
import unittest

import fleet as f


class RequestPathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = f.Fleet()
        # A failure below must not leave processes behind.
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        domains = ["a", "b", "c"]
        cls.engines = cls.fleet.start_runners(
            "engine_stand_in", "engine", domains, 4, "--token_ms=0.5")
        cls.services = cls.fleet.start_runners("service_stand_in", "service", ["a"], 8)
        cls.routers = cls.fleet.start_routers(domains)
        upstreams = [f.engine_upstream(cls.engines), f.service_upstream(cls.services)]
        document = f.fleet_document(
            {"atlas": {}, "desk-only": {"upstreams": ["desk"]}},
            upstreams,
            f.STANDARD_ROUTES,
            limits={
                "queue_timeout": "5s",
                "maximum_body_bytes": "64KiB",
                "maximum_header_bytes": "8KiB",
            },
        )
        cls.fleet.apply_and_wait(document)

    # Guards against a response that is relayed incompletely or without its outcome.
    def test_whole_and_streamed_answers_through_every_router(self):
        for router in self.routers:
            body = f.chat_body("draft a monogram", 12, user="riad", nonce="n-17")
            status, headers, content = router.post("/v1/chat/completions", body, "atlas")
            self.assertEqual(status, 200, content)
            self.assertEqual(headers["pomelospar-outcome"], "answered")
            answer = json.loads(content)
            self.assertEqual(answer["usage"]["completion_tokens"], 12)
            self.assertIn("n-17", answer["choices"][0]["message"]["content"])
            body["stream"] = True
            status, headers, content = router.post("/v1/chat/completions", body, "atlas")
            self.assertEqual(status, 200, content)
            self.assertEqual(headers["content-type"], "text/event-stream")
            self.assertIn(b"n-17", content)
            self.assertTrue(content.endswith(b"data: [DONE]\n\n"), content[-80:])

    # Guards against a large response without an outcome, and against `pomelospar-` headers of an
    # upstream, which could state an outcome of their own, reaching the caller.
    def test_outcome_of_a_large_answer_is_a_trailer(self):
        raw = self.raw_post(self.routers[0], "/v1/chat/completions", f.chat_body("x", 9900))
        head, _, rest = raw.partition(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        self.assertNotIn(b"pomelospar-runner-incarnation", head.lower())
        self.assertTrue(rest.lower().endswith(b"0\r\npomelospar-outcome: answered\r\n\r\n"), rest[-90:])

    def raw_post(self, router, path, body):
        ip, port = router.caller.split(":")
        data = json.dumps(body).encode()
        with socket.create_connection((ip, int(port)), timeout=60) as connection:
            connection.sendall((
                f"POST {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
                f"Authorization: Bearer {f.api_key('atlas')}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
            received = b""
            while piece := connection.recv(65536):
                received += piece
        return received

    # Guards against a plain service that is not reached, or that sees the caller's API key.
    def test_plain_service(self):
        status, headers, content = self.routers[1].post("/orders/7", {"towels": 40}, "atlas")
        self.assertEqual(status, 200, content)
        self.assertEqual(headers["pomelospar-outcome"], "answered")
        self.assertNotIn(f.api_key("atlas").encode(), content)

    # Guards against refusals with the wrong status or without the outcome `not_run`.
    def test_refusals_are_not_run(self):
        router = self.routers[0]
        chat = f.chat_body("x")
        cases = [
            ("unknown key", 401, "/v1/chat/completions", chat, "nobody", {}),
            ("unknown route", 404, "/nothing", {}, "atlas", {}),
            ("unknown model", 404, "/v1/chat/completions", f.chat_body("x", model="m"), "atlas", {}),
            ("upstream not allowed", 403, "/v1/chat/completions", chat, "desk-only", {}),
            ("class not allowed", 400, "/v1/chat/completions", chat, "atlas",
             {"Pomelospar-Class": "gold"}),
            ("costs too much", 400, "/v1/chat/completions", f.chat_body("x", 20000), "atlas", {}),
            ("body is no JSON", 400, "/v1/chat/completions", b"{", "atlas", {}),
            ("no idempotency key", 400, "/bookings", {}, "atlas", {}),
            ("body too large", 413, "/orders/1", b"x" * 70000, "atlas", {}),
            ("headers too large", 431, "/orders/1", {}, "atlas", {"X-Long": "y" * 9000}),
        ]
        for name, expected, path, body, workspace, headers in cases:
            with self.subTest(name):
                status, answer, content = router.post(path, body, workspace, headers)
                self.assertEqual(status, expected, content)
                self.assertEqual(answer["pomelospar-outcome"], "not_run")

    # Guards against a malformed response that is relayed as a complete one, and against a response that
    # is delivered to another request on the same upstream connection.
    def test_bad_upstream_answers(self):
        router = self.routers[0]
        outcomes = {
            "garbage_head": (502, "unknown"),
            "close_before": (502, "unknown"),
            "wrong_length": (502, "unknown"),
        }
        for kind, (expected, outcome) in outcomes.items():
            with self.subTest(kind):
                body = f.chat_body("x", fault={"kind": kind})
                status, headers, content = router.post("/v1/chat/completions", body, "atlas")
                self.assertEqual((status, headers["pomelospar-outcome"]), (expected, outcome), content)
        for index in range(20):
            body = f.chat_body("x", nonce=f"nonce-{index}", fault={"kind": "left_over"})
            status, _, content = router.post("/v1/chat/completions", body, "atlas")
            self.assertEqual(status, 200)
            self.assertIn(f"nonce-{index}".encode(), content)

    # Guards against a truncated stream that looks complete. The request's body asks for the fault, so it
    # occurs on every attempt and the stream can't be resumed to its end.
    def test_truncated_stream_is_visibly_cut(self):
        body = f.chat_body("x", 20, stream=True, fault={"kind": "truncate", "after": 3})
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            self.routers[0].post("/v1/chat/completions", body, "atlas")

    # Guards against a slot or an upstream call that is kept after the caller has disconnected.
    def test_caller_leaves_in_the_middle(self):
        router = self.routers[2]
        ip, port = router.caller.split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=10)
        body = json.dumps(f.chat_body("x", 9900, stream=True))
        connection.request(
            "POST", "/v1/chat/completions", body,
            {"Authorization": f"Bearer {f.api_key('atlas')}", "Content-Type": "application/json"},
        )
        connection.getresponse().read(100)
        connection.sock.close()
        connection.close()

        def nothing_runs():
            loads = [f.get_json(e["address"], "/load") for e in self.engines]
            return sum(load["running"] + load["waiting"] for load in loads) == 0

        f.wait_until(nothing_runs, 3, "the upstream call is cancelled")
        f.wait_until(lambda: router.status()["held_grants"] == 0, 3, "the slot is free")

    # Guards against secrets in logs, metrics and status.
    def test_no_secret_is_shown(self):
        router = self.routers[0]
        router.post("/v1/chat/completions", f.chat_body("secret words of a caller"), "atlas")
        texts = [router.process.log(), router.metrics(), json.dumps(router.status())]
        for text in texts:
            for secret in (f.api_key("atlas"), "secret words", f.ADMIN_TOKEN):
                self.assertNotIn(secret, text)

    # Guards against an admin port that answers without the operator's token.
    def test_admin_needs_the_token(self):
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            status, _, _ = f.request(self.routers[0].admin, "GET", "/v1/status", headers=headers)
            self.assertEqual(status, 401)

    # Guards against metrics that miss the histograms for each workspace and class.
    def test_metrics_by_workspace_and_class(self):
        router = self.routers[0]
        router.post("/v1/chat/completions", f.chat_body("x"), "atlas")
        text = router.metrics()
        for name in ("queue_wait", "first_token", "whole", "cost"):
            self.assertRegex(text, rf'{name}\w*_bucket{{workspace="atlas",class="interactive"')

    # Guards against an explanation that does not name the runner and the outcome.
    def test_explain(self):
        router = self.routers[0]
        _, headers, _ = router.post("/v1/chat/completions", f.chat_body("x"), "atlas")
        status, record = router.admin_call("GET", "/v1/requests/" + headers["pomelospar-request-id"])
        self.assertEqual(status, 200)
        self.assertEqual(record["state"], "answered")
        self.assertTrue(any("runner 127.0.0.1" in event["event"] for event in record["events"]))


if __name__ == "__main__":
    unittest.main(verbosity=2)
