"""Runners whose responses never end, until the router closes the connection."""

import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from fleet import peak_memory  # noqa: E402
from platform_router import RouterTestCase, request_head, until  # noqa: E402
from table_platform import ENDLESS_RESPONSES, SLOW_RESPONSES  # noqa: E402

# The smallest memory of an instance in the users' deployment sheets.
MEMORY_LIMIT_MB = 160
CONCURRENT_REQUESTS = 200
SLOW_READERS = 60
# The store sends without end for this time in seconds; the router calls it several times meanwhile.
ENDLESS_STORE_SECONDS = 1.0
# Time objective of the routes: a request to such a runner has to end within it.
OBJECTIVE_SECONDS = 0.6


def resident_mb(process):
    """Returns the peak resident memory of the process in MB."""
    return peak_memory(process.pid) / 1e6


class EndlessResponsesTest(RouterTestCase):
    # Guards against growing memory, a connection that stays open, and an endless response that counts
    # as a success, for each part of a response that can be endless.
    def test_each_response_without_end_is_closed_and_is_no_success(self):
        for fault in ENDLESS_RESPONSES:
            for path, runners in (("/b/1", self.desk), ("/s/1", self.engines)):
                with self.subTest(fault=fault, path=path):
                    for runner in self.desk + self.engines:
                        runner.fault = fault if runner in runners else None
                        runner.cancelled.clear()
                    # The router sends nothing to a runner for 0.1 s after it said that it is full.
                    time.sleep(0.15)
                    begun = time.monotonic()
                    status, _, body = self.router.send(f"{fault}{path}", path)
                    self.assertLess(time.monotonic() - begun, OBJECTIVE_SECONDS)
                    if fault == "endless_left_over":
                        self.assertEqual((status, body), (200, b"ok"))
                    elif fault == "endless_refusal":
                        self.assertEqual(status, 503)
                    else:
                        self.assertEqual(status, 502)
                    sends = [r for r in runners if any(
                        q["headers"]["x-attempt-id"] == f"{fault}{path}" for q in r.requests)]
                    self.assertTrue(until(lambda: all(r.cancelled for r in sends), 1))
        self.assertLess(resident_mb(self.router.process), MEMORY_LIMIT_MB)

    # Guards against many endless responses at once that together exhaust the memory of an instance,
    # although each one is bounded, and that delay other requests.
    def test_many_endless_responses_stay_within_memory_and_do_not_delay_others(self):
        for fault, path, runners in (
            ("endless_event", "/s/", self.engines),
            ("endless_chunks", "/b/", self.desk),
            ("endless_event", "/b/", self.desk),
        ):
            for runner in self.desk + self.engines:
                runner.fault = fault if runner in runners else None
            outcomes = []

            def call(number):
                try:
                    outcomes.append(self.router.send(f"{fault}{path}{number}", f"{path}{number}")[0])
                except OSError as error:
                    outcomes.append(error)

            callers = [threading.Thread(target=call, args=(n,)) for n in range(CONCURRENT_REQUESTS)]
            for caller in callers:
                caller.start()
            sound = "/b/1" if path == "/s/" else "/s/1"
            status, _, body = self.router.send(f"sound-{fault}{path}", sound)
            for caller in callers:
                caller.join(20)
            self.assertEqual(status, 200)
            self.assertIsNotNone(body)
            self.assertEqual(len(outcomes), CONCURRENT_REQUESTS)
            self.assertNotIn(200, outcomes)
            self.assertLess(resident_mb(self.router.process), MEMORY_LIMIT_MB)
            self.assertIsNone(self.router.process.poll())

    # Guards against a request that never ends because its runner keeps sending single bytes.
    def test_slow_endless_response_ends_at_the_deadline(self):
        deadline_seconds = 1.5
        for fault in SLOW_RESPONSES:
            with self.subTest(fault=fault):
                for runner in self.engines:
                    runner.fault = fault
                    runner.cancelled.clear()
                begun = time.monotonic()
                status, _, _ = self.router.send(
                    fault, "/s/1", headers={"X-Deadline-Ms": str(int(deadline_seconds * 1000))})
                self.assertEqual(status, 504)
                self.assertLess(time.monotonic() - begun, deadline_seconds + 0.5)
                self.assertTrue(until(lambda: any(r.cancelled for r in self.engines), 1))

    # Guards against a slow stream that is handled as stalled: its pauses are four times as long as the
    # route's objective for the gap between events.
    def test_a_slow_but_sound_stream_is_delivered_whole(self):
        for runner in self.engines:
            runner.event_interval, runner.events = 1.0, 4
        status, _, body = self.router.send("slow", "/s/1")
        self.assertEqual(status, 200)
        self.assertEqual(body.count(b"data: part-"), 4)

    # Guards against events that are kept for callers who stop reading, while their runners go on sending.
    def test_streams_that_are_not_read_hold_little_memory(self):
        for runner in self.engines:
            runner.event_interval, runner.events = 0.0, 10**9
        readers = []
        for number in range(SLOW_READERS):
            reader = socket.create_connection((self.router.ip, self.router.caller_port), timeout=5)
            # The router has to hold what the buffers of the system do not take.
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.sendall(request_head(f"reader-{number}", "POST", "/s/1", ["Content-Length: 0"]))
            readers.append(reader)
        time.sleep(3)
        self.assertLess(resident_mb(self.router.process), MEMORY_LIMIT_MB)
        status, _, _ = self.router.send("sound", "/b/1")
        self.assertEqual(status, 200)
        for reader in readers:
            reader.close()
        self.assertTrue(until(lambda: self.router.send("after", "/b/1")[0] == 200, 5))


class EndlessStoreTest(RouterTestCase):
    # Guards against a store, or what answers in its place, whose bytes without end take the memory of the router or
    # its processor time.
    def test_the_router_outlives_a_store_that_sends_without_end(self):
        for fault in ENDLESS_RESPONSES:
            with self.subTest(fault=fault):
                self.platform.store.mode = fault
                time.sleep(ENDLESS_STORE_SECONDS)
                status, _, _ = self.router.send(f"during-{fault}", "/b/1")
                self.assertEqual(status, 200)
                self.assertLess(resident_mb(self.router.process), MEMORY_LIMIT_MB)
                self.platform.store.mode = "ok"
                self.assertTrue(until(self.router.is_ready, 15))
        self.assertIsNone(self.router.process.poll())


if __name__ == "__main__":
    unittest.main(verbosity=2)
