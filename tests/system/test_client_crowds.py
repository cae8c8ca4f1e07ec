"""Crowds of clients that do not behave, at each listener of a router with little memory.

Each test checks what does not depend on the speed of the machine: that the process lives, that its resident
memory and its descriptors stay within the limits of its settings, and that one ordinary request is answered
afterwards.
"""

import os
import socket
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import KEY, METRICS_PORT, Router, request_head, until  # noqa: E402
from table_platform import Platform  # noqa: E402

CLIENTS = 60
MEMORY_MB = 80
DESCRIPTORS = 600
FEW_DESCRIPTORS = 150
BODY_BYTES = 4194304
# Bodies far over the limit of the configuration.
OVERSIZED_BODY_BYTES = 1 << 30
SENT_OF_OVERSIZED_BODY = 16 << 20
# A head of legal size with as many fields as fit.
FIELDS = 2000
PIPELINED_REQUESTS = 8000
ROUNDS_AFTERWARDS = 30
# A client gives up when the router reads nothing for this time.
STALLED_SECONDS = 3.0


class Client(threading.Thread):
    """Sends the pieces of a request to a port, reads nothing and keeps its connection open until `leave`."""

    def __init__(self, address, pieces):
        super().__init__(daemon=True)
        self.address, self.pieces = address, pieces
        self.connection = None

    def run(self):
        try:
            self.connection = socket.create_connection(self.address, timeout=STALLED_SECONDS)
            for piece in self.pieces():
                self.connection.sendall(piece)
        except OSError:
            # The router may refuse such a client and close its connection.
            pass

    def leave(self):
        if self.connection:
            self.connection.close()


def head(path, framing, method="POST", extra=()):
    return request_head("crowd", method, path, [*framing, *extra])


def body_in_one_piece(path):
    yield head(path, [f"Content-Length: {BODY_BYTES}"])
    yield b"x" * (BODY_BYTES - 1)


def body_in_small_pieces(path):
    yield head(path, [f"Content-Length: {BODY_BYTES}"])
    for _ in range(BODY_BYTES // 1024 - 1):
        yield b"x" * 1024


def body_in_chunks(path):
    yield head(path, ["Transfer-Encoding: chunked"])
    for _ in range(BODY_BYTES // 16384 - 1):
        yield b"4000\r\n" + b"x" * 16384 + b"\r\n"


def body_in_tiny_chunks(path):
    yield head(path, ["Transfer-Encoding: chunked"])
    for _ in range(20):
        yield b"1\r\nx\r\n" * 5000


def body_far_over_the_limit(path):
    yield head(path, [f"Content-Length: {OVERSIZED_BODY_BYTES}"])
    for _ in range(SENT_OF_OVERSIZED_BODY // 65536):
        yield b"x" * 65536


def chunks_without_end(path):
    yield head(path, ["Transfer-Encoding: chunked"])
    for _ in range(SENT_OF_OVERSIZED_BODY // 16384):
        yield b"4000\r\n" + b"x" * 16384 + b"\r\n"


def trailers_without_end(path):
    yield head(path, ["Transfer-Encoding: chunked"]) + b"1\r\nx\r\n0\r\n"
    for _ in range(SENT_OF_OVERSIZED_BODY // 4096):
        yield b"X-More: 1234567\r\n" * 240


def chunk_extension_without_end(path):
    yield head(path, ["Transfer-Encoding: chunked"]) + b"1;"
    for _ in range(SENT_OF_OVERSIZED_BODY // 65536):
        yield b"x" * 65536


def overflowing_chunk_size(path):
    yield head(path, ["Transfer-Encoding: chunked"]) + b"ffffffffffffffffff\r\n"
    yield b"x" * BODY_BYTES


def many_short_fields(path):
    fields = [f"a{n:x}:" for n in range(FIELDS)]
    for _ in range(50):
        yield head(path, ["Content-Length: 0"], extra=fields)


def requests_without_reading(path):
    request = head(path, [], "GET")
    for _ in range(PIPELINED_REQUESTS // 100):
        yield request * 100


def requests_behind_an_unfinished_one(path):
    yield head(path, ["Content-Length: 200000"]) + b"x" * 199999
    yield b""


def half_a_head(path):
    yield head(path, ["Content-Length: 1"])[:-20]


KINDS = (
    body_in_one_piece,
    body_in_small_pieces,
    body_in_chunks,
    body_in_tiny_chunks,
    body_far_over_the_limit,
    chunks_without_end,
    trailers_without_end,
    chunk_extension_without_end,
    overflowing_chunk_size,
    many_short_fields,
    requests_without_reading,
    requests_behind_an_unfinished_one,
    half_a_head,
)


class ClientCrowdsTest(unittest.TestCase):
    def start_router(self, descriptors=DESCRIPTORS):
        platform = Platform()
        platform.configure(3, [KEY])
        for number in (1, 2):
            platform.add_runner(f"i-d{number}", "desk")
            platform.add_runner(f"i-e{number}", "engines")
        router = Router(platform.store_port, memory_mb=MEMORY_MB, descriptors=descriptors)
        self.addCleanup(router.end)
        self.assertTrue(until(router.is_ready, 10))
        return router

    def check(self, router, port, path):
        for kind in KINDS:
            with self.subTest(kind=kind.__name__):
                clients = [Client((router.ip, port), lambda k=kind: k(path)) for _ in range(CLIENTS)]
                for client in clients:
                    client.start()
                for client in clients:
                    client.join()
                self.assertIsNone(router.process.poll(), "the process has ended")
                self.assertLessEqual(router.open_descriptors(), DESCRIPTORS)
                self.assertLessEqual(router.peak_memory(), MEMORY_MB * 1e6)
                self.check_ordinary_request(router, kind.__name__)
                for client in clients:
                    client.leave()

    def check_ordinary_request(self, router, name):
        """Checks that a request is served while the crowd is still connected; it may be refused before."""
        statuses = []

        def is_served():
            statuses.append(router.send(f"{name}-{len(statuses)}", "/l/1", "GET")[0])
            return statuses[-1] == 200

        self.assertTrue(until(is_served, 30), statuses[-1:])

    # Guards against a process that runs out of memory on any path of the callers' listener.
    def test_crowds_on_a_route(self):
        router = self.start_router()
        self.check(router, router.caller_port, "/b/1")

    def test_crowds_on_a_path_without_a_route(self):
        router = self.start_router()
        self.check(router, router.caller_port, "/none/1")

    # Guards against a listener that does not share the limits of the callers' one.
    def test_crowds_at_the_readiness_listener(self):
        router = self.start_router()
        self.check(router, router.ready_port, "/pomelospar/readyz")
        self.assertTrue(until(router.is_ready, 30))

    def test_crowds_at_the_metrics_listener(self):
        router = self.start_router()
        self.check(router, METRICS_PORT, "/metrics")

    # Guards against connections that use up the descriptors, so that neither ordinary callers nor runners can be
    # connected.
    def test_connections_without_a_request_at_each_listener(self):
        router = self.start_router(FEW_DESCRIPTORS)
        for port, path in ((router.ready_port, "/pomelospar/readyz"), (METRICS_PORT, "/metrics"),
                           (router.caller_port, "/b/1")):
            with self.subTest(path=path):
                clients = [Client((router.ip, port), lambda: half_a_head(path)) for _ in range(2 * FEW_DESCRIPTORS)]
                for client in clients:
                    client.start()
                for client in clients:
                    client.join()
                self.assertIsNone(router.process.poll(), "the process has ended")
                self.assertLessEqual(router.open_descriptors(), FEW_DESCRIPTORS)
                self.check_ordinary_request(router, "few")
                for client in clients:
                    client.leave()

    # Guards against idle connections that keep the buffers of their last request: one long request at a time on
    # kept connections then takes all memory.
    def test_long_requests_one_at_a_time_on_kept_connections(self):
        router = self.start_router()
        kept = []
        for number in range(CLIENTS):
            connection = socket.create_connection((router.ip, router.caller_port), timeout=30)
            kept.append(connection)
            body = b"x" * (BODY_BYTES - 1)
            connection.sendall(head("/b/1", [f"Content-Length: {len(body)}"]).replace(b"crowd", b"%d" % number) + body)
            self.assertIn(b" 200 ", connection.recv(65536).split(b"\r\n")[0], number)
        self.assertLessEqual(router.peak_memory(), MEMORY_MB * 1e6)
        self.check_ordinary_request(router, "kept")
        for connection in kept:
            connection.close()


if __name__ == "__main__":
    unittest.main()
