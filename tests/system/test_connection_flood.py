"""One caller opens far more connections to a router than the router has processor time for."""

import asyncio
import os
import random
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from platform_router import RouterTestCase, request_head, until  # noqa: E402

CONNECTIONS = 800
CONNECTIONS_PER_SECOND = 400
DEADLINE_SECONDS = 5.0
# Stands for the status of a caller whose connection was refused, so that nothing of its request was sent.
NOT_CONNECTED = 0
# Quota of a small instance: seconds of processor time in each period.
QUOTA_SECONDS = 0.012
PERIOD_SECONDS = 0.1


class ProcessorQuota:
    """Lets a process run for a part of each period only, as a processor quota does."""

    def __init__(self, process):
        self.process = process
        self.done = threading.Event()
        self.thread = threading.Thread(target=self.enforce)

    def enforce(self):
        while not self.done.is_set():
            self.process.send_signal(signal.SIGCONT)
            time.sleep(QUOTA_SECONDS)
            self.process.send_signal(signal.SIGSTOP)
            self.done.wait(PERIOD_SECONDS - QUOTA_SECONDS)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.done.set()
        self.thread.join()
        self.process.send_signal(signal.SIGCONT)


class ConnectionFloodTest(RouterTestCase):
    # Guards against callers whose connections stay in the listen queue until their deadline: they are
    # neither served nor told to try another router.
    def test_every_caller_is_answered_before_its_deadline(self):
        with ProcessorQuota(self.router.process):
            statuses = asyncio.run(self.flood())
        self.assertEqual(statuses.count(None), 0)
        self.assertLessEqual(set(statuses), {200, 503, NOT_CONNECTED})
        self.assertGreater(statuses.count(200), 0)

    async def flood(self):
        """Returns the status that each caller got, or None if it got none before its deadline."""
        callers = []
        for number in range(CONNECTIONS):
            callers.append(asyncio.create_task(self.call(number)))
            await asyncio.sleep(1 / CONNECTIONS_PER_SECOND)
        return await asyncio.gather(*callers)

    async def call(self, number):
        try:
            return await asyncio.wait_for(self.status_of(number), DEADLINE_SECONDS)
        except asyncio.TimeoutError:
            return None

    async def status_of(self, number):
        try:
            reader, writer = await asyncio.open_connection(self.router.ip, self.router.caller_port)
        except ConnectionRefusedError:
            return NOT_CONNECTED
        try:
            writer.write(request_head(f"attempt-{number}", "POST", "/s/1", ["Content-Length: 0"]))
            head = await reader.readline()
            return int(head.split()[1])
        finally:
            writer.close()


class KnownShareTest(ConnectionFloodTest):
    # The same for a router that knows its part of a core and refuses connections before it reads from them.
    more_limits = f"cpu-share = {QUOTA_SECONDS / PERIOD_SECONDS}\nconnection-delay-ms = 500"

    def test_every_caller_is_answered_before_its_deadline(self):
        super().test_every_caller_is_answered_before_its_deadline()
        self.assertGreater(self.router.metric("pomelospar_refused_connections_total"), 0)


class FewDescriptorsTest(RouterTestCase):
    """Callers keep their connections open, and the router has descriptors for a part of them only."""

    descriptors = 150
    seed = 20261206
    rounds = 40
    callers_per_round = 20

    # Guards against connections that are closed for newer ones while their requests arrive: the request was run
    # and its caller got neither a response nor a refusal.
    def test_a_request_on_a_new_connection_is_answered(self):
        statuses = asyncio.run(self.crowd())
        self.assertEqual(statuses.count(None), 0)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreater(statuses.count(200), len(statuses) / 2)
        self.assertTrue(until(lambda: self.router.metric("pomelospar_connections_replaced") > 0, 3))
        # The router closed idle connections only, so no request has lost its caller.
        self.assertEqual([line for line in self.router.log_lines() if line.get("outcome") == "caller_gone"], [])

    async def crowd(self):
        draws = random.Random(self.seed)
        kept, statuses = [], []
        for number in range(self.rounds):
            calls = [self.call(f"{number}-{caller}", draws.uniform(0.0, 0.01), kept)
                     for caller in range(self.callers_per_round)]
            statuses += await asyncio.gather(*calls)
        for writer in kept:
            writer.close()
        return statuses

    async def call(self, attempt, pause, kept):
        """Returns the status of a request on a new connection that stays open, or None if it got no response."""
        reader, writer = await asyncio.open_connection(self.router.ip, self.router.caller_port)
        kept.append(writer)
        await asyncio.sleep(pause)
        try:
            writer.write(request_head(attempt, "GET", "/l/1"))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), DEADLINE_SECONDS)
            return int(head.split()[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None


if __name__ == "__main__":
    unittest.main(verbosity=2)
