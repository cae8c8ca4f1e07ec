"""The router for the users' platform: the whole request path against a stand-in of the platform."""

import http.client
import os
import signal
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import (  # noqa: E402
    CANCEL_LIMIT,
    CONFIGURATION_LIMIT,
    DRAIN_LIMIT,
    KEY,
    REVOCATION_LIMIT,
    RouterTestCase,
    check_no_new_work,
    until,
)


class PlatformPathTest(RouterTestCase):
    def setUp(self):
        super().setUp()
        self.count = 0

    def send(self, path, method="POST", key=KEY, headers=(), timeout=8):
        """Sends a request with a new attempt identifier; returns status, headers and body."""
        self.count += 1
        return self.router.send(self.attempt(), path, method, key, headers, timeout)

    def attempt(self):
        return f"attempt-{self.count}"

    def runs(self, runners):
        """Returns what `runners` received of the last request, in order of time."""
        runs = [r for runner in runners for r in runner.requests]
        runs = [r for r in runs if r["headers"]["x-attempt-id"] == self.attempt()]
        return sorted(runs, key=lambda run: run["at"])

    def events(self, count=8):
        return b"".join(f"id: {n}\ndata: part-{n}\n\n".encode() for n in range(1, count + 1))

    def test_serves_all_kinds_with_the_receipt_of_the_runner(self):
        status, headers, body = self.send("/s/1")
        self.assertEqual((status, body), (200, self.events()))
        self.assertTrue(headers["X-Server-Stamp"].startswith("stamp-i-e"))
        run = self.runs(self.engines)[0]["headers"]
        self.assertEqual(run["x-tenant"], "hule")
        self.assertNotIn("authorization", run)
        self.assertIn(run["x-expect-instance"], ("i-e1", "i-e2"))
        self.assertLessEqual(int(run["x-deadline-ms"]), 5000)
        status, _, body = self.send("/b/1")
        self.assertEqual((status, body), (200, f"whole answer to {self.attempt()}".encode()))
        status, _, body = self.send("/l/1", method="GET")
        self.assertEqual((status, body), (200, f"whole answer to {self.attempt()}".encode()))

    def test_refuses_what_no_configuration_allows(self):
        self.assertEqual(self.send("/none/1")[0], 404)
        self.assertEqual(self.send("/s/1", key="key-of-nobody")[0], 401)
        self.assertEqual(self.send("/s/1", key=None)[0], 401)

    # Guards against a configuration that comes into force late, and one that is replaced by an
    # older version.
    def test_follows_changes_of_the_configuration(self):
        route = {"name": "new", "prefix": "/n/", "route-kind": "idempotent", "timeout-ms": 1000}
        self.platform.configure(5, [KEY, "key-2"], [route | {"service": "desk", "max-attempts": 2}])
        self.assertTrue(until(lambda: self.send("/n/1", key="key-2")[0] == 200, CONFIGURATION_LIMIT))
        self.platform.configure(4, [KEY])
        time.sleep(0.5)
        self.assertEqual(self.send("/n/1", key="key-2")[0], 200)

    # Guards against a changed configuration that is missed while the store drops its history.
    def test_reads_everything_again_after_lost_history(self):
        async def lose():
            self.platform.store.oldest_version = 10**9

        self.platform.call(lose())
        self.platform.configure(6, ["key-3"])
        self.assertTrue(until(lambda: self.send("/l/1", method="GET", key="key-3")[0] == 200, CONFIGURATION_LIMIT))

    # Guards against a revoked key that still works on an instance that cannot reach the store.
    def test_keys_fail_closed_without_the_store(self):
        for mode in ("silent", "reset", 503):
            with self.subTest(mode=mode):
                self.platform.store.mode = mode
                self.assertEqual(self.send("/l/1", method="GET")[0], 200)
                self.assertTrue(
                    until(lambda: self.send("/l/1", method="GET")[0] == 503, REVOCATION_LIMIT + 0.2)
                )
                ran = len(self.desk[0].requests) + len(self.desk[1].requests)
                self.assertEqual(self.send("/l/1", method="GET")[0], 503)
                self.assertEqual(ran, len(self.desk[0].requests) + len(self.desk[1].requests))
                self.assertFalse(self.router.is_ready())
                self.platform.store.mode = "ok"
                self.assertTrue(until(self.router.is_ready, 5))

    # Guards against new work for a runner that is draining.
    def test_no_new_work_for_a_draining_runner(self):
        self.platform.put("servers", "i-d1", self.desk[0].entry("draining"))
        time.sleep(DRAIN_LIMIT)
        check_no_new_work(self, self.desk[0], lambda: self.send("/l/1", method="GET")[0])

    # Guards against new work for a runner that says that it leaves while its entry still says ready, for
    # each kind of response, also while the store is away.
    def test_no_new_work_for_a_runner_that_says_that_it_leaves(self):
        def send(path):
            # Prompts without common parts, so that they are spread over the engines.
            return self.send(path, headers={"X-Prompt-Prefix": f"{self.count + 1:x}:900"})

        for mode, path, runners, fault in (
            ("ok", "/l/1", self.desk, None),
            ("ok", "/s/1", self.engines, None),
            ("reset", "/l/1", self.desk, "error"),
        ):
            with self.subTest(mode=mode, path=path, fault=fault):
                self.platform.store.mode = mode
                runners[0].leaving, runners[0].fault = True, fault
                self.assertTrue(until(lambda: send(path)[0] == 200 and len(runners[0].requests) > 0, 5))
                headers = [send(path)[1] for _ in range(10)]
                before = len(runners[0].requests)
                for _ in range(10):
                    self.assertEqual(send(path)[0], 200)
                self.assertEqual(len(runners[0].requests), before)
                self.assertFalse(any("Server-Leaving" in header for header in headers))
                self.platform.store.mode = "ok"
                runners[0].leaving, runners[0].fault = False, None
                # Another run of the runner is used again, as soon as the other one leaves.
                time.sleep(0.5)
                runners[0] = self.platform.restart_under_same_identifier(runners[0])
                runners[1].leaving = True
                self.assertTrue(until(lambda: send(path)[0] == 200 and runners[0].requests, 5))
                runners[1].leaving = False
                runners[1] = self.platform.restart_under_same_identifier(runners[1])
                time.sleep(0.5)

    # Guards against requests for a runner that has turned one away and asked for rest.
    def test_no_requests_for_a_runner_that_rests(self):
        self.desk[0].rest = "1.5"
        self.assertTrue(until(lambda: self.send("/l/1", method="GET")[0] == 200 and self.desk[0].requests, 2))
        rests_until = self.desk[0].requests[-1]["at"] + 1.5
        while time.monotonic() < rests_until - 0.1:
            self.assertEqual(self.send("/l/1", method="GET")[0], 200)
        self.assertEqual(len(self.desk[0].requests), 1)
        self.desk[0].rest = None
        self.assertTrue(until(lambda: self.send("/l/1")[0] == 200 and len(self.desk[0].requests) > 1, 3))

    # Guards against callers that wait in vain while all runners rest, and against absurd times.
    def test_refuses_at_once_while_all_runners_rest(self):
        for runner in self.desk:
            runner.rest = "3"
        until(lambda: all(runner.requests for runner in self.desk) or self.send("/b/1") is None, 2)
        begun = time.monotonic()
        status, headers, _ = self.send("/b/1")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - begun, 0.2)
        self.assertGreater(float(headers["Retry-After"]), 2)
        for text in ("-1", "", "nan", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"):
            for runner in self.engines:
                runner.rest = text
            self.assertEqual(self.send("/s/1")[0], 503)
        for runner in self.engines:
            runner.rest = None
        self.assertTrue(until(lambda: self.send("/s/1")[0] == 200, 1))

    # Guards against a store outage after which expired entries are taken for runners that left.
    def test_keeps_runners_whose_entries_expired_in_an_outage(self):
        self.platform.store.mode = "reset"
        time.sleep(0.5)
        for runner in self.desk:
            self.platform.remove("servers", runner.identifier)
        self.platform.store.mode = "ok"
        time.sleep(0.7)
        self.assertEqual(self.send("/l/1", method="GET")[0], 200)
        for runner in self.desk:
            self.platform.put("servers", runner.identifier, runner.entry())
        time.sleep(2.5)
        self.assertEqual(self.send("/l/1", method="GET")[0], 200)

    # Guards against a runner that leaves seconds after a store outage and is kept as if its entry had
    # expired during the outage (seen in trouble-1 of mosscare-nam, seed 789339887076).
    def test_a_removal_after_the_return_of_the_store_counts_at_once(self):
        self.platform.store.mode = "reset"
        time.sleep(0.7)
        self.platform.store.mode = "ok"
        self.assertTrue(until(self.router.is_ready, 5))
        time.sleep(2.3)
        self.platform.remove("servers", "i-d1")
        time.sleep(1)
        check_no_new_work(self, self.desk[0], lambda: self.send("/l/1", method="GET")[0])

    # Guards against a malformed entry that affects the other entries.
    def test_ignores_malformed_entries(self):
        for number, bytes_ in enumerate((b"\xff\x00", b"{}", b'{"service":7}', b"[]")):
            self.platform.put("servers", f"i-bad{number}", bytes_)
        self.platform.put("servers", "i-d1", b'{"service":"desk"}')
        time.sleep(1)
        for _ in range(5):
            self.assertEqual(self.send("/l/1", method="GET")[0], 200)

    # Guards against events that are missing, repeated or joined from two runs.
    def test_resumes_a_broken_stream_after_the_last_whole_event(self):
        for runner in self.engines:
            runner.fault = "break"
            runner.break_after = 4
        status, headers, body = self.send("/s/1")
        runs = self.runs(self.engines)
        self.assertEqual(len(runs), 2)
        self.assertEqual(runs[1]["headers"]["last-event-id"], "4")
        self.assertEqual((status, body), (200, self.events()))

    # Guards against an interrupted stream that looks complete.
    def test_a_stream_that_cannot_be_resumed_is_visibly_truncated(self):
        for runner in self.engines:
            runner.fault = "break"
            runner.break_after = 2
        status, _, body = self.send("/s/1")
        self.assertEqual(status, 200)
        self.assertIsNone(body)

    # Guards against a booking that runs twice, and against "not run" for one that may have run.
    def test_a_booking_of_unknown_outcome_is_not_repeated(self):
        for fault in ("error", "refuse_silently", "no_receipt"):
            with self.subTest(fault=fault):
                for runner in self.desk:
                    runner.fault = fault
                status, _, _ = self.send("/b/1")
                self.assertEqual(len(self.runs(self.desk)), 1)
                self.assertIn(status, (500, 502, 504))

    # Guards against a refusal although another runner could execute the request: a runner that reports
    # "not run" allows another attempt.
    def test_a_booking_that_did_not_run_is_sent_to_another_runner(self):
        self.desk[0].fault = "full"
        for _ in range(4):
            self.assertEqual(self.send("/b/1")[0], 200)
        self.desk[1].fault = "other_instance"
        status, headers, _ = self.send("/b/1")
        self.assertEqual(status, 503)
        self.assertLess(float(headers["Retry-After"]), 5 / 3)

    # Guards against a 502, which leaves the outcome open, for a request that every runner reported as not
    # run (seen in scale-2 of afm-pomelo-grown, where runners shed load).
    def test_a_request_that_no_runner_ran_is_refused_as_not_run(self):
        for runner in self.desk + self.engines:
            runner.fault = "full"
        for path in ("/b/1", "/s/1"):
            status, headers, _ = self.send(path)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(len(self.runs(self.engines)), 2)

    def test_a_lookup_is_tried_again_after_an_error(self):
        self.desk[0].fault = "error"
        for _ in range(3):
            self.assertEqual(self.send("/l/1", method="GET")[0], 200)

    # Guards against a response that belongs to an earlier request on a reused connection.
    def test_discards_a_late_second_response(self):
        for runner in self.desk:
            runner.fault = "extra"
        for _ in range(6):
            status, _, body = self.send("/l/1", method="GET")
            self.assertEqual((status, body), (200, f"whole answer to {self.attempt()}".encode()))

    # Guards against a request that crashes one runner after another because its caller repeats it.
    def test_refuses_a_request_that_crashed_several_runners(self):
        runners = self.desk + [self.platform.add_runner(f"i-c{n}", "desk") for n in range(4)]
        for runner in runners:
            runner.fault = "crash"
        time.sleep(0.5)
        for _ in range(8):
            self.send("/b/poison")
            time.sleep(0.4)
        crashed = sum(1 for runner in runners if runner.requests)
        self.assertEqual(crashed, 3)
        status, _, _ = self.send("/b/poison")
        self.assertEqual(status, 503)

    def test_accepts_a_response_delimited_by_connection_close(self):
        for runner in self.desk:
            runner.fault = "unframed"
        status, _, body = self.send("/l/1", method="GET")
        self.assertEqual((status, body), (200, f"whole answer to {self.attempt()}".encode()))

    # Guards against a whole response made of one whose head was cut off.
    def test_a_response_cut_off_in_its_head_is_no_success(self):
        for cut_after in (0, 9, 15, 17, 30, 37, 60, 80):
            with self.subTest(cut_after=cut_after):
                for runner in self.desk + self.engines:
                    runner.fault = "cut_head"
                    runner.cut_after = cut_after
                for path in ("/b/1", "/s/1"):
                    self.assertEqual(self.send(path)[0], 502)

    # Guards against a stream that ends with its connection and is taken as complete although it was broken
    # off, and against one that is taken as broken although it is complete.
    def test_a_stream_delimited_by_connection_close_ends_as_it_does_at_the_runner(self):
        for fault, expected in (("unframed", self.events()), ("unframed_inside_event", None), ("unframed_reset", None)):
            with self.subTest(fault=fault):
                for runner in self.engines:
                    runner.fault = fault
                status, _, body = self.send("/s/1")
                self.assertEqual((status, body), (200, expected))

    # Guards against a body that was reset on its way and is taken as complete.
    def test_a_body_delimited_by_a_reset_is_no_success(self):
        for runner in self.desk:
            runner.fault = "unframed_reset"
        self.assertEqual(self.send("/b/1")[0], 502)

    # Guards against runners that keep working after the caller has disconnected.
    def test_cancels_at_the_runner_when_the_caller_leaves(self):
        for runner in self.desk:
            runner.fault = "hang"
        caller = socket.create_connection(("127.0.0.1", self.router.caller_port))
        caller.sendall(
            b"GET /l/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: gone-1\r\n"
            b"Authorization: Token key-1\r\nX-Deadline-Ms: 5000\r\n\r\n"
        )
        self.assertTrue(until(lambda: any(r.requests for r in self.desk), 2))
        caller.close()
        left = time.monotonic()
        self.assertTrue(until(lambda: any(r.cancelled for r in self.desk), CANCEL_LIMIT))
        self.assertLess(time.monotonic() - left, CANCEL_LIMIT)

    # Guards against a request that is kept waiting beyond its route's timeout.
    def test_answers_at_the_timeout_of_the_route(self):
        for runner in self.desk:
            runner.fault = "hang"
        start = time.monotonic()
        status, _, _ = self.send("/l/1", method="GET")
        self.assertEqual(status, 504)
        self.assertLess(time.monotonic() - start, 1.0 + 0.5)

    # Guards against accepted requests that a shutdown truncates.
    def test_shutdown_finishes_accepted_requests(self):
        for runner in self.engines:
            runner.event_interval = 0.25
        caller = http.client.HTTPConnection("127.0.0.1", self.router.caller_port, timeout=8)
        headers = {"Host": "a.example", "X-Attempt-Id": "stop-1", "X-Deadline-Ms": "5000"}
        caller.request("POST", "/s/1", body=b"x", headers=headers | {"Authorization": f"Token {KEY}"})
        answer = caller.getresponse()
        self.router.process.send_signal(signal.SIGTERM)
        self.assertTrue(until(lambda: not self.router.is_ready(), 0.5))
        # New requests during the shutdown are served or refused with 503.
        self.assertEqual(self.send("/l/1", method="GET")[0], 200)
        self.assertEqual(self.send("/s/2")[0], 503)
        self.assertEqual(answer.read(), self.events())
        self.router.process.wait(8)
        messages = [line["message"] for line in self.router.log_lines()]
        self.assertIn("stop", messages)
        self.assertIn("stopped", messages)

    # Guards against a failed attempt that leaves no log line with its cause.
    def test_each_request_leaves_a_line_with_its_cause(self):
        for runner in self.desk:
            runner.fault = "error"
        self.send("/l/1", method="GET")
        time.sleep(0.5)
        lines = [line for line in self.router.log_lines() if line.get("request") == self.attempt()]
        self.assertEqual([line["message"] for line in lines], ["retry", "request"])
        self.assertEqual(lines[1]["outcome"], "error_of_runner")
        self.assertEqual(lines[1]["policy"], 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)
