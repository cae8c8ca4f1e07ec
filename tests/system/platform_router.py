"""One process of the router for the users' platform, as the tests against the stand-in start it."""

import http.client
import json
import os
import subprocess
import tempfile
import time
import urllib.request

from fleet import BINARIES, free_port

KEY = "key-1"
# Bounds of the users' rules, in seconds.
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
memory-mb = 260
max-fds = 4100
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


def caller_headers(attempt, key, patience_ms=5000):
    """Headers of a request as callers of the platform send it; no key for a public route."""
    headers = {
        "Host": "a.example",
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(patience_ms),
        "X-Token-Usage": "1000,40",
        "X-Prompt-Prefix": "a1:500,b2:500",
    }
    return headers | ({"Authorization": f"Token {key}"} if key else {})


class Router:
    """One process of the router, with its log. Routers of one fleet need an address each."""

    def __init__(self, store_port, ip="127.0.0.1", domain="a"):
        self.ip, self.callers, self.ready = ip, free_port(), free_port()
        self.directory = tempfile.TemporaryDirectory()
        self.settings_path = os.path.join(self.directory.name, "settings.toml")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(
                SETTINGS.format(
                    ip=ip,
                    callers=self.callers,
                    ready=self.ready,
                    internal=free_port(),
                    domain=domain,
                    store=store_port,
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
            connection = http.client.HTTPConnection(self.ip, self.ready, timeout=2)
            connection.request("GET", "/pomelospar/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def ask(self, attempt, path, method="POST", key=KEY, headers=(), timeout=8):
        """Status, headers and body; the body is None if the answer was not whole."""
        sent = caller_headers(attempt, key) | dict(headers)
        connection = http.client.HTTPConnection(self.ip, self.callers, timeout=timeout)
        connection.request(method, path, body=b"asked" if method == "POST" else None, headers=sent)
        answer = connection.getresponse()
        try:
            return answer.status, answer.headers, answer.read()
        except (http.client.IncompleteRead, ConnectionError):
            return answer.status, answer.headers, None
        finally:
            connection.close()

    def metric(self, prefix):
        """Sum of the router's metrics whose lines begin with the prefix."""
        with urllib.request.urlopen(f"http://{self.ip}:{METRICS_PORT}/metrics", timeout=2) as answer:
            lines = answer.read().decode().splitlines()
        return sum(float(line.split()[-1]) for line in lines if line.startswith(prefix))

    def store_calls(self):
        """Reads of the platform's tables since the start."""
        return self.metric("pomelospar_store_calls_total{")

    def lines(self):
        with open(self.log_path, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("}\n")]

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.directory.cleanup()


def until(condition, seconds):
    """Waits for a condition; returns whether it became true in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


def check_no_new_work(test, runner, ask):
    """Requests that `ask` sends are served, and not by this runner."""
    before = len(runner.requests)
    for _ in range(10):
        test.assertEqual(ask(), 200)
    test.assertEqual(len(runner.requests), before)
