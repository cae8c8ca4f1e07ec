"""Starts a fleet of daemons with emulators on loopback for the system tests and measurements.

Every process is a child of the test and is ended by its process id. Ports are chosen by the system
where the program can report them, and reserved by a short bind otherwise.
"""

import base64
import hashlib
import http.client
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import tempfile
import threading
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("POMELOSPAR_BUILD", REPOSITORY / "build"))
BINARIES = BUILD / "bin"
ADMIN_TOKEN = "admin-token-of-the-system-tests"


def free_port():
    """Returns a port that could be bound just now, below the range of outgoing connections."""
    for _ in range(1000):
        free_port.next += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", free_port.next))
                return free_port.next
            except OSError:
                continue
    raise RuntimeError("no free port between 10000 and 32000")


# Test processes start at different ports. Linux uses ports from 32768 for outgoing connections.
free_port.next = 10000 + (os.getpid() * 211) % 20000


def api_key(workspace):
    return f"key-of-{workspace}"


def toml_value(value):
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {toml_value(v)}" for k, v in value.items()) + " }"
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(toml_value(v) for v in value) + "]"
    return json.dumps(value)


def toml_document(tables):
    """Formats TOML. `tables` maps a table name to a dict, or to a list of dicts for an array of tables."""
    lines = []
    for name, content in tables.items():
        for table in content if isinstance(content, list) else [content]:
            lines.append(f"[[{name}]]" if isinstance(content, list) else f"[{name}]")
            lines += [f"{key} = {toml_value(value)}" for key, value in table.items()]
            lines.append("")
    return "\n".join(lines)


def peak_memory(pid):
    """Returns the largest resident memory of a process so far, in bytes."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


class Process:
    """A child process whose standard error goes to a file."""

    def __init__(self, name, arguments, folder, announces=False):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.announcement = None
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.arguments, stdout=subprocess.PIPE if announces else log, stderr=log
            )
        if announces:
            self.announcement = self._read_announcement()

    def _read_announcement(self):
        ready, _, _ = select.select([self.child.stdout], [], [], 20)
        line = self.child.stdout.readline() if ready else b""
        if not line:
            raise RuntimeError(f"{self.name} did not start: {self.log()[-2000:]}")
        return json.loads(line)

    @property
    def pid(self):
        return self.child.pid

    def log(self):
        return self.log_path.read_text(errors="replace")

    def signal(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def wait(self, timeout=20):
        return self.child.wait(timeout)

    def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.wait(3)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self.wait()
        if self.child.stdout:
            self.child.stdout.close()


def request(address, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request. Returns (status, headers with lower-case names, body bytes)."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        content = response.read()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, content
    finally:
        connection.close()


def get_json(address, path, headers=None, timeout=10):
    status, _, body = request(address, "GET", path, headers=headers, timeout=timeout)
    if status != 200:
        raise RuntimeError(f"GET {path} at {address}: {status} {body[:300]!r}")
    return json.loads(body)


def wait_until(condition, timeout, what):
    """Polls `condition` and returns its first true result; raises AssertionError after `timeout` seconds.

    OSError, RuntimeError and HTTPException raised by the condition count as false.
    """
    deadline = time.monotonic() + timeout
    error = None
    while time.monotonic() < deadline:
        try:
            result = condition()
            if result:
                return result
        except (OSError, RuntimeError, http.client.HTTPException) as caught:
            error = caught
        time.sleep(0.02)
    raise AssertionError(f"{what}: not within {timeout} s (last error: {error})")


class Router:
    """One pomelospard process and its settings file."""

    def __init__(self, fleet, name, domain, extra=None):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.control = f"127.0.0.1:{free_port()}"
        self.caller = f"127.0.0.1:{free_port()}"
        self.admin = f"127.0.0.1:{free_port()}"
        self.extra = extra or {}
        self.process = None

    def start(self):
        settings = {
            "control_address": self.control,
            "caller_address": self.caller,
            "admin_address": self.admin,
            "failure_domain": self.domain,
            "region": "test",
            "fleet_key_file": str(self.fleet.folder / "fleet.key"),
            "admin_token_file": str(self.fleet.folder / "admin.token"),
            "platform_address": self.fleet.platform_address,
            "seeds": [r.control for r in self.fleet.routers.values() if r is not self],
            "log_level": "info",
        }
        settings.update({k: v for k, v in self.extra.items() if not isinstance(v, dict)})
        tables = {"faults": {"enabled": True}}
        tables.update({k: v for k, v in self.extra.items() if isinstance(v, dict)})
        path = self.fleet.folder / f"{self.name}.toml"
        lines = [f"{key} = {toml_value(value)}" for key, value in settings.items()]
        path.write_text("\n".join(lines) + "\n\n" + toml_document(tables))
        self.process = Process(
            self.name, [BINARIES / "pomelospard", f"--settings={path}"], self.fleet.folder
        )
        return self

    def kill(self):
        self.process.signal(signal.SIGKILL)
        self.process.wait()

    def admin_call(self, method, path, body=None, timeout=15):
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        status, _, content = request(self.admin, method, path, body, headers, timeout)
        return status, json.loads(content) if content else None

    def status(self):
        return self.admin_call("GET", "/v1/status")[1]

    def ready(self):
        return request(self.admin, "GET", "/readyz", timeout=2)[0] == 200

    def metrics(self):
        return request(self.admin, "GET", "/metrics", timeout=5)[2].decode()

    def block_peers(self, others, platform=False):
        """Blocks control messages to and from exactly these routers and, if `platform`, platform calls.

        An empty list unblocks all routers.
        """
        body = {"blocked_peers": [o.control for o in others], "block_platform": platform}
        status, answer = self.admin_call("POST", "/v1/faults", body)
        assert status == 200, answer

    def post(self, path, body, workspace, headers=None, timeout=30):
        all_headers = {
            "Authorization": f"Bearer {api_key(workspace)}",
            "Content-Type": "application/json",
        }
        all_headers.update(headers or {})
        return request(self.caller, "POST", path, body, all_headers, timeout)


class Fleet:
    """Platform, runners and routers in a temporary folder. As a context manager it stops them on exit."""

    def __init__(self):
        self._temporary = tempfile.TemporaryDirectory(prefix="pomelospar-")
        self.folder = pathlib.Path(self._temporary.name)
        (self.folder / "fleet.key").write_text(base64.b64encode(os.urandom(48)).decode())
        (self.folder / "admin.token").write_text(ADMIN_TOKEN)
        self.processes = []
        self.routers = {}
        self.upstreams = []
        self.platform = None
        self.platform_address = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        for router in self.routers.values():
            if router.process:
                router.process.signal(signal.SIGCONT)
                router.process.signal(signal.SIGKILL)
                router.process.wait()
        for process in self.processes:
            process.stop()
        self._temporary.cleanup()

    def run(self, name, arguments):
        process = Process(name, arguments, self.folder, announces=True)
        self.processes.append(process)
        return process

    def start_platform(self, *flags):
        self.platform = self.run("platform", [BINARIES / "platform_stand_in", *flags])
        self.platform_address = self.platform.announcement["addresses"][0]
        return self

    def platform_faults(self, **faults):
        status, _, body = request(self.platform_address, "POST", "/control", faults)
        assert status in (200, 204), body

    def start_runners(self, program, name, domains, slots, *flags, ports=1):
        """Starts one process with `ports` runners for each entry of `domains`.

        Returns the runner tables of the fleet configuration.
        """
        runners = []
        for index, domain in enumerate(domains):
            process = self.run(
                f"{name}-{index}", [BINARIES / program, f"--ports={ports}", *flags]
            )
            for address in process.announcement["addresses"]:
                runners.append({"address": address, "domain": domain, "slots": slots})
        return runners

    def add_router(self, name, domain, **extra):
        self.routers[name] = Router(self, name, domain, extra)
        return self.routers[name]

    def start_routers(self, domains, wait=False):
        """Starts routers r0, r1, ... in the given domains."""
        for index, domain in enumerate(domains):
            self.add_router(f"r{index}", domain)
        for router in self.routers.values():
            router.start()
        if wait:
            self.wait_ready()
        return list(self.routers.values())

    def wait_ready(self, timeout=20):
        for router in self.routers.values():
            wait_until(router.ready, timeout, f"{router.name} ready")

    def apply(self, document, router=None, **fields):
        router = router or next(iter(self.routers.values()))
        body = {
            "document": document,
            "file": "test.toml",
            "apply_identifier": os.urandom(8).hex(),
            "operator": "test",
            "message": "system test",
            "dry_run": False,
        }
        body.update(fields)
        return router.admin_call("POST", "/v1/configuration/apply", body)

    def apply_and_wait(self, document, timeout=10):
        """Applies `document` through the first router and waits until it is in force on every router.

        `timeout` in seconds applies to each router. Returns the new generation.
        """
        wait_until(
            lambda: request(next(iter(self.routers.values())).admin, "GET", "/healthz")[0] == 200,
            20,
            "admin port",
        )
        status, answer = self.apply(document)
        assert status == 200, answer
        generation = answer["generation"]
        for router in self.routers.values():
            wait_until(
                lambda r=router: r.status()["generation"] >= generation,
                timeout,
                f"{router.name} at generation {generation}",
            )
        self.wait_ready()
        return generation


def fleet_document(workspaces, upstreams, routes, classes=None, limits=None):
    """Returns the TOML of a fleet configuration. `workspaces` maps a name to extra keys."""
    tables = {"limits": limits or {"queue_timeout": "20s"}}
    tables["class"] = classes or [
        {"name": "interactive", "weight": 4.0},
        {"name": "batch", "weight": 1.0},
    ]
    tables["upstream"] = upstreams
    tables["route"] = routes
    class_names = [entry["name"] for entry in tables["class"]]
    tables["workspace"] = []
    for name, extra in workspaces.items():
        workspace = {
            "name": name,
            "share": 1.0,
            "key_hashes": [hashlib.sha256(api_key(name).encode()).hexdigest()],
            "classes": class_names,
            "default_class": class_names[0],
            "upstreams": [upstream["name"] for upstream in upstreams],
        }
        workspace.update(extra)
        tables["workspace"].append(workspace)
    return toml_document(tables)


def engine_upstream(runners, name="engine", model="model", **extra):
    upstream = {
        "name": name,
        "kind": "model_engine",
        "model": model,
        "cost": {"per_input_token": 0.0, "per_output_token": 1.0},
        "connect_timeout": "500ms",
        "runners": runners,
    }
    upstream.update(extra)
    return upstream


def service_upstream(runners, name="desk", **extra):
    upstream = {
        "name": name,
        "kind": "plain_service",
        "cost": {"per_call": 10.0},
        "connect_timeout": "500ms",
        "runners": runners,
    }
    upstream.update(extra)
    return upstream


STANDARD_ROUTES = [
    {"name": "chat", "path_prefix": "/v1/chat/completions", "methods": ["POST"]},
    {
        "name": "bookings",
        "path_prefix": "/bookings",
        "methods": ["POST"],
        "upstream": "desk",
        "repeatable": False,
    },
    {"name": "orders", "path_prefix": "/orders", "upstream": "desk", "repeatable": True},
]


def chat_body(prompt, tokens=8, stream=False, user="u", nonce="n", model="model", **extra):
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
        "user": user,
        "nonce": nonce,
    }
    body.update(extra)
    return body


class Background(threading.Thread):
    """Runs a function on a thread and keeps its result or exception for `join_result`."""

    def __init__(self, function, *arguments):
        super().__init__(daemon=True)
        self.function, self.arguments = function, arguments
        self.result = self.error = None
        self.start()

    def run(self):
        try:
            self.result = self.function(*self.arguments)
        except Exception as error:  # pylint: disable=broad-except
            self.error = error

    def join_result(self, timeout=60):
        self.join(timeout)
        if self.is_alive():
            raise AssertionError("background work did not end in time")
        if self.error:
            raise self.error
        return self.result
