"""Stand-ins for a small deployment: the platform's store, runners, callers, and the routers' processes.

All stand-ins run on one asyncio event loop and follow the users' pages. Each case adds its own disruption.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "desk.example"
TENANT, KEY = "hule930", "asnmgkcuyj8pjbvk9m68"
HEARTBEAT_SECONDS = 1.2
MAX_HEADER_BYTES = 16384

# As in the users' example of a process's settings (DEPLOY), with the figures of afm-pomelo.
SETTINGS = """
node-name = "edge-{zone}-{ip}"
role = "router"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "maroc-nord"
internal-ports = [{internal}, {internal}]
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
memory-mb = {memory_mb}
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
{more_bounds}
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


class CannotRun(Exception):
    """The case could not be carried out, which says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, what, **facts):
        line = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{self.now():8.3f} {what} {line}\n")

    def summary(self, text):
        self.file.write(text + "\n")
        self.file.flush()
        print(text)


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the headers by lower-case name, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], head[1], body


def message(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])).encode() + body


class Store:
    """The platform's store. `copy` and `return_from` play the drill in which it comes back from a copy."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 1
        self.away = self.silent = False
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        if self.rows.get((table, key), (None, 0))[0] is not None:
            self.put(table, key, None)

    def copy(self):
        return dict(self.rows), self.version

    def leave(self, silent=False):
        """From now on calls are reset, or get no answer, also those that are under way."""
        self.away, self.silent = True, silent
        if not silent:
            for writer in list(self.writers):
                writer.transport.abort()
        self.changed.set()
        self.changed = asyncio.Event()

    def return_from(self, copy):
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.away = False

    def answer(self, status, body):
        era = [("Store-Era", str(self.era)), ("Content-Type", "application/json")]
        return message(status, era, json.dumps(body).encode())

    def row(self, key):
        value, version = self.rows[key]
        row = {"table": key[0], "part": "", "key": key[1], "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    def listing(self, table, after=None):
        rows = [
            self.row(key)
            for key, (value, version) in sorted(self.rows.items())
            if key[0] == table and (value is not None if after is None else version > after)
        ]
        if after is not None:
            rows.sort(key=lambda row: row["ver"])
        known = {"ver": self.version, "now-ms": int(time.monotonic() * 1e3)}
        return self.answer(200, {"rows": rows, "has-more": False} | known)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                era = self.era
                await asyncio.sleep(0.004)
                answer = await self.handle(request)
                # A call that was under way when the store went away gets no answer, and its channel delivers
                # nothing further.
                if self.away or era != self.era:
                    if self.silent:
                        await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, request):
        line, _, body = request
        url = urllib.parse.urlparse(line.split()[1])
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/pomelospar/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/pomelospar/rows-get":
            return self.listing(query["table"])
        if url.path != "/pomelospar/rows-feed":
            return self.answer(404, {})
        after, end = int(query["after-rev"]), time.monotonic() + int(query["wait-ms"]) / 1e3
        while after <= self.version and not self.away:
            if any(k[0] == query["table"] and v > after for k, (_, v) in self.rows.items()):
                break
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        if after > self.version:
            return self.answer(410, {})
        return self.listing(query["table"], after)

    def transact(self, call):
        entries = call["set-keys"] + call["remove"]
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return self.answer(403, {})
        for condition in call["expected-rev"]:
            value, version = self.rows.get((condition["table"], condition["key"]), (None, 0))
            if condition["ver"] != (version if value is not None else 0):
                return self.answer(412, {"rows": []})
        for entry in call["set-keys"]:
            self.put(entry["table"], entry["key"], base64.b64decode(entry["value"]))
        for entry in call["remove"]:
            self.remove(entry["table"], entry["key"])
        return self.answer(200, {"ver": self.version, "now-ms": int(time.monotonic() * 1e3)})


class Runner:
    """A sound runner. It answers a booking after `work` seconds, a stream with `events` events."""

    def __init__(self, record, store, identifier, service, slots, work=0.03, events=0, gap=0.0, zone="fes-a"):
        self.record, self.store = record, store
        self.identifier, self.service, self.slots = identifier, service, slots
        self.work, self.events, self.gap, self.zone = work, events, gap, zone
        self.born = int(time.time() * 1e3)
        self.sequence = 0
        self.state = "ready"
        # True from the time at which the runner says in its answers that it leaves.
        self.leaving = False
        # False while the runner has no entry, because it leaves without reporting that it drains.
        self.listed = True
        self.places = asyncio.Semaphore(slots)
        # Time and outcome of each request that reached the runner, by its attempt identifier.
        self.reached = collections.OrderedDict()
        # Attempt identifiers of the requests whose answers said that the runner leaves.
        self.told_leaving = set()
        self.writers = set()
        self.server = None
        self.tasks = []
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.write_entry()
        self.tasks.append(asyncio.create_task(self.heartbeat()))

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq-no": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.identifier, json.dumps(entry).encode())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.listed and not self.store.away:
                self.write_entry()

    def exit(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, request, writer):
        _, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        known = [("X-Attempt-Id", attempt), ("Keep-Alive", "timeout=10")]
        if self.leaving:
            known.append(("Server-Leaving", "1"))
        if headers.get("x-expect-instance", self.identifier) != self.identifier:
            writer.write(message(421, [("X-Instance-Id", self.identifier), *known]))
            return True
        entry = {"at": self.record.now(), "runner": self.identifier, "outcome": "running"}
        self.reached[attempt] = entry
        self.record.write("reached", attempt=attempt, runner=self.identifier, leaving=self.leaving)
        async with self.places:
            await asyncio.sleep(self.work)
            # What the runner says of itself is as of the moment of its answer.
            known = [("X-Attempt-Id", attempt), ("Keep-Alive", "timeout=10")]
            if self.leaving:
                known.append(("Server-Leaving", "1"))
                self.told_leaving.add(attempt)
            known.append(("X-Server-Stamp", f"{self.identifier}.{attempt}"))
            try:
                if self.events:
                    await self.stream(known, attempt, writer)
                else:
                    writer.write(message(200, known, attempt.encode().ljust(800, b".")))
                    await writer.drain()
            except ConnectionError:
                entry["outcome"] = "channel closed"
                self.record.write("run_broken", attempt=attempt, runner=self.identifier)
                raise
            entry["outcome"] = "complete"
            self.record.write("ran", attempt=attempt, runner=self.identifier, leaving=self.leaving)
        return True

    async def stream(self, known, attempt, writer):
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in known)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number} of {self.events}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Router:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, record, store, ip="127.0.0.1", zone="fes-a", memory_mb=260, more_bounds=""):
        self.record, self.ip, self.memory_mb = record, ip, memory_mb
        self.caller_port, self.ready_port = free_port(ip), free_port(ip)
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "boot.toml"
        self.settings.write_text(
            SETTINGS.format(
                ip=ip, zone=zone, callers=self.caller_port, ready=self.ready_port, internal=free_port(ip),
                store=store.address, memory_mb=memory_mb, more_bounds=more_bounds),
            encoding="utf-8")
        deploy = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        self.command = re.search(r'^run = "([^"]+)"', deploy, re.MULTILINE)[1].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing; run the build of the deploy file first")
        self.log = open(pathlib.Path(self.folder.name) / "log", "ab")
        self.process = None
        self.peak_mb, self.kills = 0.0, 0

    def start(self):
        environment = {"PATH": os.environ["PATH"], "POMELOSPAR_NODE_FILE": str(self.settings)}
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.write("router_started", ip=self.ip, pid=self.process.pid)

    def resident_mb(self):
        """Returns the resident memory of the process in MiB, or 0 if it has ended."""
        try:
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def keep_within_memory(self, restart_seconds=1.0):
        """Does what the platform does: kills a process that exceeds `memory-mb`, and starts it again."""
        while True:
            used = self.resident_mb()
            self.peak_mb = max(self.peak_mb, used)
            ended = self.process.poll()
            if used > self.memory_mb or ended is not None:
                self.record.write("killed_for_memory", ip=self.ip, mb=round(used), ended_by_itself=ended)
                self.kills += 1
                if ended is None:
                    self.process.kill()
                self.process.wait()
                await asyncio.sleep(restart_seconds)
                self.start()
            await asyncio.sleep(0.02)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /pomelospar/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return head is not None and head[0].split()[1] == "200"

    async def until_ready(self, seconds=8):
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun("the router did not become ready")
            await asyncio.sleep(0.05)

    def end(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.log.close()
        self.folder.cleanup()


class Caller:
    """A requester that keeps its channel open from one request to the next."""

    def __init__(self, record, router, name, key=KEY):
        self.record, self.router, self.name, self.key = record, router, name, key
        self.count = 0
        self.reader = self.writer = None

    async def send(self, path, deadline_ms, tokens="826,58", parts=None):
        """Sends one request and returns what came of it; `parts` lists the parts of its prompt."""
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        if self.writer is None:
            try:
                opening = asyncio.open_connection(self.router.ip, self.router.caller_port)
                self.reader, self.writer = await asyncio.wait_for(opening, 1)
            except (OSError, asyncio.TimeoutError):
                return {"attempt": attempt, "outcome": "no channel", "sent_at": self.record.now()}
        result = {"attempt": attempt, "sent_at": self.record.now(), "kept": self.count > 1}
        lines = [
            f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Token {self.key}", "X-Model: m",
            f"X-Token-Usage: {tokens}",
            f"X-Prompt-Prefix: {parts or f'5c1e07a2:198,{abs(hash(attempt)):x}:628'}",
            "Content-Length: 5", "", ""]
        self.record.write("sent", attempt=attempt, path=path)
        try:
            self.writer.write("\r\n".join(lines).encode() + b"hello")
            answer = self.read_answer(attempt)
            result |= await asyncio.wait_for(answer, deadline_ms / 1e3)
        except asyncio.TimeoutError:
            result["outcome"] = "gave up"
            self.drop()
        except ConnectionError:
            result["outcome"] = "closed"
            self.drop()
        result["ended_at"] = self.record.now()
        self.record.write("answered", attempt=attempt, outcome=result["outcome"])
        return result

    async def read_answer(self, attempt):
        head = await read_head(self.reader)
        if head is None:
            self.drop()
            return {"outcome": "closed"}
        status = int(head[0].split()[1])
        answer = {"status": status, "stamp": head[1].get("x-server-stamp", ""),
                  "head_at": self.record.now()}
        body = b""
        try:
            if head[1].get("transfer-encoding") == "chunked":
                while True:
                    size = int(await self.reader.readuntil(b"\r\n"), 16)
                    piece = await self.reader.readexactly(size + 2)
                    if size == 0:
                        break
                    body += piece[:-2]
            else:
                body = await self.reader.readexactly(int(head[1].get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.drop()
            return answer | {"outcome": f"{status} incomplete"}
        if head[1].get("connection", "").lower() == "close":
            self.drop()
        own = status != 200 or attempt.encode() in body
        return answer | {"outcome": str(status) if own else "foreign answer"}

    def drop(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def configuration(routes, services, version=7, keys=(KEY,)):
    """The operator's config; each route is (prefix, kind, service, further fields)."""
    common = {"host": HOST, "priority": 1, "max-attempts": 2, "public": False}
    return json.dumps({
        "version": version,
        "routes": [
            common | {"name": f"r-{index}", "prefix": prefix, "route-kind": kind, "service": service} | fields
            for index, (prefix, kind, service, fields) in enumerate(routes)],
        "services": services,
        "limits": {"max-header-bytes": MAX_HEADER_BYTES, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000, "tokens-per-s": 410000},
        "tenants": [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
    }).encode()


def run_case(main, folder):
    """Runs a case and exits; `main` gets a record and a list whose functions are called at the end."""
    record = Record(folder)
    at_end = []

    async def run():
        try:
            status = await asyncio.wait_for(main(record, at_end), 110)
        except Exception as error:  # pylint: disable=broad-except
            traceback.print_exc()
            record.summary(f"could not run: {error!r}")
            status = NOT_RUN
        finally:
            for function in reversed(at_end):
                function()
        record.file.close()
        sys.stdout.flush()
        # The stand-ins' tasks end with the process.
        os._exit(status)

    asyncio.run(run())
