"""Stand-ins for the platform's table store and for runners, and a launcher of routers.

The stand-ins run on one event loop in a background thread. Routers are separate processes, started as
deploy/system.toml starts them: the settings file is named by POMELOSPAR_NODE_FILE.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ROUTER = REPOSITORY / "target" / "bin" / "pomelospar_edge"
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"

# As in the settings of an instance of a small deployment.
SETTINGS = """
node-name = "edge-{zone}-{ip}"
role = "router"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "maroc-nord"
internal-ports = [{internal}, {internal_end}]
seeds = []
is-bootstrap = true
in-fault-budget = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
fes-a = "maroc-nord"
meknes-b = "maroc-nord"
tanger-c = "maroc-nord"
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
max-stretch-ms = 5000
revoke-fail-closed = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 54
recover-s = 12
event-lag-ms = 120
reuse-window-s = 10
quota-window-s = 4
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
part-writes-per-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-per-s = 80.0
"""
MEMORY_MB = 260
DESCRIPTORS = 4100


def free_ports(ip, count):
    """Returns ports of `ip` that could be bound just now, below the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        free_ports.next += 1
        if free_ports.next >= 32000:
            free_ports.next = 10000
        with socket.socket() as probe:
            try:
                probe.bind((ip, free_ports.next))
                ports.append(free_ports.next)
            except OSError:
                continue
    return ports


free_ports.next = 10000 + (os.getpid() * 211) % 20000
# A case that is ended early ends its processes too.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


async def read_message(reader):
    """Reads an HTTP message as (first line, headers by lower-case name, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    return lines[0], headers, body


def response(status, body=b"", headers=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode() + b"\r\n" + body


class Store:
    """The platform's table store: rows with versions from one counter, reads, a feed and transactions."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        # Value of the header Store-Era: how often the store has come back from an older copy.
        self.era = 1
        self.changed = asyncio.Event()
        # While the store is away it resets each call.
        self.is_away = False
        self.writers = set()

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def now_ms(self):
        return int(time.monotonic() * 1e3)

    def copy(self):
        return dict(self.rows), self.version

    def go_away(self):
        """Ends all calls without a response, and resets those that come until `come_back`."""
        self.is_away = True
        for writer in self.writers:
            writer.transport.abort()
        self.wake()

    def come_back(self, copy):
        """Serves again, from the copy: what was written since is gone, and its versions are given out again."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.era += 1
        self.is_away = False

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        entry = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return entry | {"tombstone": True}
        return entry | {"value": base64.b64encode(value).decode()}

    def answer(self, table, after=None):
        rows = [
            self.row(t, k)
            for (t, k), (value, version) in sorted(self.rows.items())
            if t == table and (version > after if after is not None else value is not None)
        ]
        return {"rows": rows, "has-more": False, "ver": self.version, "now-ms": self.now_ms()}

    async def handle(self, line, body):
        url = urllib.parse.urlparse(line.split()[1])
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path.endswith("rows-tx"):
            return self.transact(json.loads(body))
        if url.path.endswith("rows-get"):
            return 200, self.answer(query["table"])
        table, after = query["table"], int(query["after-rev"])
        if after > self.version:
            return 410, {}
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1e3
        while not any(t == table and v > after for (t, _), (_, v) in self.rows.items()):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        return 200, self.answer(table, after)

    def transact(self, call):
        for condition in call.get("expected-rev", []):
            known = self.rows.get((condition["table"], condition["key"]), (None, 0))
            if condition["ver"] != (known[1] if known[0] is not None else 0):
                return 412, {"rows": []}
        for row in call.get("set-keys", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            self.put(row["table"], row["key"], None)
        return 200, {"ver": self.version, "now-ms": self.now_ms()}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                era = self.era
                if self.is_away:
                    break
                status, answer = await self.handle(message[0], message[2])
                await asyncio.sleep(0.004)
                if self.is_away or self.era != era:
                    break
                writer.write(response(status, json.dumps(answer).encode(), [("Store-Era", self.era)]))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Runner:
    """A sound runner: checks X-Expect-Instance, runs each request and answers it with its identifier."""

    def __init__(self, platform, identifier, service, zone, slots):
        self.platform, self.identifier, self.service = platform, identifier, service
        self.zone, self.slots = zone, slots
        self.born = int(time.time() * 1e3)
        self.port = 0
        self.server = None
        # Seconds that a request takes.
        self.work = 0.02
        self.events = 2
        self.runs = []

    def entry(self, state="ready"):
        return json.dumps(
            {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
             "slots": self.slots, "state": state, "cold-left-ms": 0, "stage": "unified",
             "models": [{"name": "m", "version": 1, "adapters": []}], "seq-no": 1, "born": self.born}
        ).encode()

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                await self.answer(*message, reader, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, reader, writer):
        if "x-attempt-id" not in headers:
            writer.write(response(200, b"", [("X-Instance-Id", self.identifier)]))
            return
        identifier = headers["x-attempt-id"]
        if headers.get("x-expect-instance", self.identifier) != self.identifier:
            writer.write(response(421, b"", [("X-Instance-Id", self.identifier), ("X-Attempt-Id", identifier)]))
            return
        self.runs.append((identifier, line, headers.get("x-tenant"), time.monotonic()))
        await asyncio.sleep(self.work)
        known = [("X-Attempt-Id", identifier), ("X-Server-Stamp", f"stamp-{self.identifier}-{identifier}")]
        if self.service == ENGINES:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            writer.write((head + "".join(f"{n}: {v}\r\n" for n, v in known) + "\r\n").encode())
            for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                event = f"id: {number}\ndata: {identifier}-{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(response(200, f"answer to {identifier}".encode(), known))


ENGINES, DESK = "huvo11a", "wuno96b"


def configuration(version, keys=(KEY,)):
    common = {"host": HOST, "priority": 1, "public": False}
    stream = {"route-kind": "streaming", "timeout-ms": 15000, "goal-ms": 600, "sticky": True,
              "resumable": True, "gap-aim-ms": 250, "service": ENGINES, "max-attempts": 2}
    plain = {"timeout-ms": 1500, "goal-ms": 150, "service": DESK, "max-attempts": 2}
    return {
        "version": version,
        "routes": [
            common | stream | {"name": "r-stream", "prefix": "/lohu930/"},
            common | plain | {"name": "r-book", "prefix": "/puxa403/", "route-kind": "non_idempotent"},
            common | plain | {"name": "r-look", "prefix": "/cufi504/", "route-kind": "idempotent"},
        ],
        "services": [
            {"name": ENGINES, "health-path": "/healthz", "max-conns": 620, "protocol": "h1", "tls": False,
             "engine": {"slots": 128, "kv-capacity": 953186, "kv-token-bytes": 35136, "link-mbps": 1100000.0,
                        "moves": True, "backups": True, "stride": 5, "most": 12, "pin-ms": 4000.0,
                        "hold-ms": 2000.0, "handle-ttl-s": 5.0, "models": [{"name": "m"}]}},
            {"name": DESK, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000, "tokens-per-s": 410000},
        "tenants": [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
    }


class Platform:
    """The store and the runners of a small deployment."""

    def __init__(self, engines=9, desks=3):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.runners = []
        self.call(self._start(engines, desks))

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(20)

    async def _start(self, engines, desks):
        self.store = Store()
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0, limit=1 << 22)
        self.store_port = server.sockets[0].getsockname()[1]
        self.store.put("op", "config", json.dumps(configuration(3)).encode())
        zones = ("fes-a", "meknes-b", "tanger-c")
        for number in range(engines):
            await self.add_runner(f"i-e{number}", ENGINES, zones[number % 3], 128)
        for number in range(desks):
            await self.add_runner(f"i-d{number}", DESK, zones[number % 3], 6)

    async def add_runner(self, identifier, service, zone, slots):
        runner = Runner(self, identifier, service, zone, slots)
        runner.port = free_ports("127.0.0.1", 1)[0]
        runner.server = await asyncio.start_server(runner.serve, "127.0.0.1", runner.port, limit=1 << 20)
        self.runners.append(runner)
        self.store.put("servers", identifier, runner.entry())
        return runner

    def at_store(self, action):
        """Calls `action(store)` on the event loop of the store and returns its result."""

        async def act():
            return action(self.store)

        return self.call(act())

    def configure(self, document):
        """Writes a configuration as the operator; returns the time of the acknowledgement."""
        self.at_store(lambda store: store.put("op", "config", json.dumps(document).encode()))
        return time.monotonic()


class Router:
    """One router process."""

    def __init__(self, platform, ip="127.0.0.1", zone="fes-a", store=None):
        self.ip, self.zone = ip, zone
        self.callers, self.ready, self.internal = free_ports(ip, 3)
        self.directory = tempfile.TemporaryDirectory()
        self.settings = os.path.join(self.directory.name, "boot.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                ip=ip, zone=zone, callers=self.callers, ready=self.ready, internal=self.internal,
                internal_end=self.internal, store=store or f"127.0.0.1:{platform.store_port}"))
        self.log_path = os.path.join(self.directory.name, "log")
        self.log = open(self.log_path, "ab")
        self.start()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            [ROUTER], stdout=self.log, stderr=self.log, cwd=REPOSITORY,
            env=environment | {"POMELOSPAR_NODE_FILE": self.settings})

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), timeout=1) as connection:
                connection.sendall(b"GET /pomelospar/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def memory(self):
        """Resident memory in bytes, as the platform counts it against `memory-mb`; 0 if the process ended."""
        return self._status("VmRSS")

    def peak_memory(self):
        return self._status("VmHWM")

    def _status(self, name):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith(name):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def log_lines(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return [json.loads(line) for line in file if line.startswith("{") and line.endswith("}\n")]

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.directory.cleanup()


def request(method, path, attempt, headers=(), body=b"", deadline_ms=1500, key=KEY):
    """Returns the bytes of a request with the headers that requesters send."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(address, data, timeout=5.0):
    """Sends a request on a new connection; returns (status or None, headers, body, whether it was complete)."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    except (OSError, asyncio.TimeoutError):
        return None, {}, b"", False
    try:
        writer.write(data)
        return await asyncio.wait_for(read_response(reader), timeout)
    except (OSError, asyncio.TimeoutError):
        return None, {}, b"", False
    finally:
        writer.close()


async def read_response(reader):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None, {}, b"", False
    status = int(head[0].split()[1])
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:] if line)}
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, body, False
    return status, headers, body, True
