"""Runners of pomelospard whose responses never end, until the router closes the connection."""

import http.client
import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(__file__))
import fleet as f  # noqa: E402
from raw_runner import RawRunner  # noqa: E402
from table_platform import ENDLESS_RESPONSES  # noqa: E402

CONCURRENT_REQUESTS = 40
MAXIMUM_ANSWER_BYTES = 1 << 20
# Memory that the process may use beside the responses, in MB.
OWN_MEMORY_MB = 64


class EndlessRunner(RawRunner):
    """Sends the response without end that `fault` names, or a short body for the path of sound requests."""

    def __init__(self):
        self.fault = None
        self.open = 0
        self.lock = threading.Lock()
        super().__init__()

    def count(self, change):
        with self.lock:
            self.open += change

    def respond(self, connection, request):
        if b"/sound" in request["path"]:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return True
        start, repeated = ENDLESS_RESPONSES[self.fault]
        identifier = request["headers"][b"pomelospar-request-id"].decode()
        self.count(1)
        try:
            connection.sendall(start.replace("{known}", f"Pomelospar-Request-Id: {identifier}\r\n").encode())
            while True:
                connection.sendall(repeated.encode())
        except OSError:
            return False
        finally:
            self.count(-1)


class EndlessRunnersTest(unittest.TestCase):
    # Guards against a router that keeps what a faulty runner sends without end, for each part of a response, and
    # against other requests that end with it.
    def test_responses_without_end_are_bounded(self):
        runner = EndlessRunner()
        self.addCleanup(runner.listener.close)
        fleet = self.enterContext(f.Fleet())
        fleet.start_platform()
        router = fleet.start_routers(["a"])[0]
        runners = [{"address": runner.address, "domain": "a", "slots": CONCURRENT_REQUESTS + 1}]
        limits = {"queue_timeout": "20s", "maximum_answer_bytes": f"{MAXIMUM_ANSWER_BYTES}B"}
        fleet.apply_and_wait(
            f.fleet_document({"atlas": {}}, [f.service_upstream(runners)], f.STANDARD_ROUTES[1:], limits=limits))
        for fault in ENDLESS_RESPONSES:
            with self.subTest(fault=fault):
                runner.fault = fault
                outcomes = []

                def call(number):
                    try:
                        outcomes.append(router.post(f"/orders/{fault}-{number}", {}, "atlas")[0])
                    except (OSError, http.client.HTTPException) as error:
                        outcomes.append(error)

                callers = [threading.Thread(target=call, args=[n]) for n in range(CONCURRENT_REQUESTS)]
                for caller in callers:
                    caller.start()
                status, _, content = router.post("/orders/sound", {}, "atlas")
                for caller in callers:
                    caller.join(30)
                self.assertEqual((status, content), (200, b"ok"))
                self.assertEqual(len(outcomes), CONCURRENT_REQUESTS)
                f.wait_until(lambda: runner.open == 0, 5, "the router closes each endless response")
                peak = f.peak_memory(router.process.pid) / 1e6
                print(f"{fault}: peak of {peak:.0f} MB")
                self.assertLess(peak, OWN_MEMORY_MB + CONCURRENT_REQUESTS * MAXIMUM_ANSWER_BYTES / 1e6)


if __name__ == "__main__":
    unittest.main(verbosity=2)
