"""Starts pomelospar_edge, the router for the users' platform, against the platform stand-in."""

import http.client
import json
import os
import subprocess
import tempfile
import time
import unittest
import urllib.request

from fleet import BINARIES, free_port, peak_memory
from table_platform import Platform

KEY = "key-1"
# Time limits that the users require, in seconds.
CONFIGURATION_LIMIT = 2.0
REVOCATION_LIMIT = 5.0
DRAIN_LIMIT = 2.0
CANCEL_LIMIT = 0.5
# As in deploy/system.toml.
METRICS_PORT = 9464

SETTINGS = """
node-name = "edge-{ip}"
ip = "{ip}"
zone = "{domain}"
internal-ports = [{internal}, {internal}]
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
memory-mb = {memory_mb}
{more_limits}
max-fds = {descriptors}
[bounds]
revoke-ms = 5000
revoke-fail-closed = true
grace-s = 8
drain-ms = 2000
config-apply-ms = 2000
retry-budget-ratio = 0.2
retry-budget-slack = 54
budget-window-s = 10
quota-window-s = 4
[platform]
address = "127.0.0.1:{store}"
"""


def caller_headers(attempt, key, deadline_ms=5000):
    """Returns the request headers that callers of the platform send; `key` is None on public routes."""
    headers = {
        "Host": "a.example",
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Token-Usage": "1000,40",
        "X-Prompt-Prefix": "a1:500,b2:500",
    }
    return headers | ({"Authorization": f"Token {key}"} if key else {})


def request_head(attempt, method, path, fields=()):
    """Returns the bytes of a request up to its body, for tests that write to sockets themselves."""
    lines = [f"{name}: {value}" for name, value in caller_headers(attempt, KEY).items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *lines, *fields, "", ""]).encode()


class Router:
    """One router process and its log. Each router of a fleet needs an IP address of its own."""

    def __init__(self, store_port, ip="127.0.0.1", domain="a", memory_mb=260, descriptors=4100, more_limits=""):
        self.ip, self.caller_port, self.ready_port = ip, free_port(), free_port()
        self.directory = tempfile.TemporaryDirectory()
        self.settings_path = os.path.join(self.directory.name, "settings.toml")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(
                SETTINGS.format(
                    ip=ip,
                    callers=self.caller_port,
                    ready=self.ready_port,
                    internal=free_port(),
                    domain=domain,
                    store=store_port,
                    memory_mb=memory_mb,
                    descriptors=descriptors,
                    more_limits=more_limits,
                )
            )
        self.log_path = os.path.join(self.directory.name, "log")
        self.log = open(self.log_path, "ab")
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [BINARIES / "pomelospar_edge", f"--settings={self.settings_path}"],
            stdout=self.log,
            stderr=self.log,
        )

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ready_port, timeout=2)
            connection.request("GET", "/pomelospar/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def send(self, attempt, path, method="POST", key=KEY, headers=(), timeout=8, body=b"asked"):
        """Returns status, headers and body; the body is None if the response was incomplete."""
        sent = caller_headers(attempt, key) | dict(headers)
        connection = http.client.HTTPConnection(self.ip, self.caller_port, timeout=timeout)
        connection.request(method, path, body=body if method == "POST" else None, headers=sent)
        answer = connection.getresponse()
        try:
            return answer.status, answer.headers, answer.read()
        except (http.client.IncompleteRead, ConnectionError):
            return answer.status, answer.headers, None
        finally:
            connection.close()

    def metric(self, prefix):
        """Returns the sum of all metric values whose lines begin with `prefix`."""
        with urllib.request.urlopen(f"http://{self.ip}:{METRICS_PORT}/metrics", timeout=2) as answer:
            lines = answer.read().decode().splitlines()
        return sum(float(line.split()[-1]) for line in lines if line.startswith(prefix))

    def store_calls(self):
        """Returns the number of calls to the platform's table store since the router started."""
        return self.metric("pomelospar_store_calls_total{")

    def peak_memory(self):
        """Returns the largest resident memory of the process so far, in bytes."""
        return peak_memory(self.process.pid)

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def log_lines(self):
        with open(self.log_path, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("}\n")]

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.directory.cleanup()


def until(condition, seconds):
    """Polls `condition` for at most `seconds`; returns whether it became true."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


def check_no_new_work(test, runner, send):
    """Checks that requests sent by `send` succeed and that `runner` receives none of them."""
    before = len(runner.requests)
    for _ in range(10):
        test.assertEqual(send(), 200)
    test.assertEqual(len(runner.requests), before)


class RouterTestCase(unittest.TestCase):
    """A test of one router with two engines and two plain services."""

    # Further lines of the table `[limits]` of the router's settings.
    more_limits = ""
    descriptors = 4100

    def setUp(self):
        self.platform = Platform()
        self.platform.configure(3, [KEY])
        self.engines = [self.platform.add_runner(f"i-e{n}", "engines") for n in (1, 2)]
        self.desk = [self.platform.add_runner(f"i-d{n}", "desk") for n in (1, 2)]
        self.router = Router(
            self.platform.store_port, descriptors=self.descriptors, more_limits=self.more_limits)
        self.addCleanup(self.router.end)
        self.assertTrue(until(self.router.is_ready, 5))
