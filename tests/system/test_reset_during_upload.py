"""A runner that answers a long upload before it has read it, and then resets the connection."""

import json
import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from connection_reset import reset_on_close  # noqa: E402
from platform_router import RouterTestCase, until  # noqa: E402
from raw_runner import RawRunner  # noqa: E402

UPLOAD_BYTES = 900_000
RESET_DELAYS = (0.0, 0.02, 0.1)


class BreakingRunner(RawRunner):
    """Sends a part of a response without a length, ends its sending side and resets the connection."""

    reads_bodies = False

    def __init__(self, content_type, part, delay):
        self.content_type, self.part, self.delay = content_type, part, delay
        self.requests = 0
        super().__init__()

    def respond(self, connection, request):
        self.requests += 1
        attempt = b"X-Attempt-Id: " + request["headers"][b"x-attempt-id"]
        fields = [b"HTTP/1.1 200 OK", attempt, b"X-Server-Stamp: stamp", b"Content-Type: " + self.content_type]
        connection.sendall(b"\r\n".join(fields) + b"\r\n\r\n" + self.part)
        connection.shutdown(socket.SHUT_WR)
        time.sleep(self.delay)
        reset_on_close(connection)
        return False


class ResetDuringUploadTest(RouterTestCase):
    def replace_runners(self, service, sound, runner):
        """Makes `runner` the only one of the service."""
        for other in sound:
            self.platform.remove("servers", other.identifier)
        entry = json.loads(sound[0].entry()) | {"service": service, "address": runner.address, "born": 1}
        identifier = f"i-breaking-{runner.address}"
        self.platform.put("servers", identifier, json.dumps(entry).encode())
        self.addCleanup(runner.listener.close)
        return identifier

    def break_uploads(self, service, sound, path, runner_arguments, check):
        """Calls `check` with the runner, status and body of an upload for each delay of the reset."""
        for delay in RESET_DELAYS:
            with self.subTest(delay=delay):
                runner = BreakingRunner(*runner_arguments, delay)
                identifier = self.replace_runners(service, sound, runner)
                try:
                    status, body = self.upload_until_sent(runner, f"{service}-{delay}", path)
                    check(runner, status, body)
                finally:
                    self.platform.remove("servers", identifier)

    # Guards against a part of a response that a caller gets as a complete success: the response has no
    # length, and its end could only be told from the whole by the state of the upload.
    def test_a_broken_booking_is_no_success(self):
        def check(runner, status, body):
            self.assertEqual(status, 502, body)
            self.assertEqual(runner.requests, 1)

        self.break_uploads("desk", self.desk, "/b/1", (b"text/plain", b"half of the receipt"), check)

    # The same for a stream, which must not look complete.
    def test_a_broken_stream_does_not_look_complete(self):
        def check(_, status, body):
            self.assertTrue(status == 502 or body is None, (status, body))

        events = (b"text/event-stream", b"id: 1\ndata: a\n\n")
        self.break_uploads("engines", self.engines, "/s/1", events, check)

    def upload_until_sent(self, runner, attempt, path):
        """Sends the upload until the router knows the runner; returns status and body."""
        result = []

        def was_sent():
            status, _, body = self.router.send(f"{attempt}-{len(result)}", path, body=b"x" * UPLOAD_BYTES)
            result.append((status, body))
            return runner.requests > 0

        self.assertTrue(until(was_sent, 5))
        return result[-1]


if __name__ == "__main__":
    unittest.main()
