"""Stand-ins for the platform of one small deployment: its store, its runners, its operator and its callers.

All of them run on one asyncio event loop. The routers under test are separate processes, started with the
command of the deploy file. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ROUTER = REPOSITORY / "target" / "bin" / "pomelospar_edge"
HOST = "desk.example"
HEARTBEAT_S = 1.2
# A run that takes longer could not run.
LIMIT_S = 110

SETTINGS = """
node-name = "{name}"
role = "router"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [{internal}, {internal_last}]
seeds = []
is-bootstrap = true
in-fault-budget = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = [{contracts}]
[zones]
{zones}
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory_mb}
max-fds = {descriptors}
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
{bounds}
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


def free_port(ip):
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ip, port))
            except OSError:
                continue
            return port


def reset(writer):
    """Closes a connection with a reset, as the system does for a process that crashed."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Reads an HTTP message as (first line, headers by lower-case name, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = {}
        for line in lines:
            if line:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def message(first, headers, body=b""):
    lines = [first, f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode() + body


class Record:
    """What was sent, answered and run, in order of time; written to record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's table store. Reads and writes are linearizable, and each change has a version."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 1
        self.away = False
        # True while the store is away without a word: calls get no answer.
        self.is_silent = False
        self.copies = []
        self.changed = asyncio.Event()
        self.writers = set()
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.keep_copies())

    async def keep_copies(self):
        while True:
            self.copies.append((time.monotonic(), dict(self.rows), self.version))
            self.copies = self.copies[-300:]
            await asyncio.sleep(0.1)

    def put(self, table, key, value):
        """Writes a row, or removes it if the value is None. Returns the version of the change."""
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def leave(self, is_silent=False):
        """Resets all connections and answers calls with 503 until it is back, or is silent until then."""
        self.away, self.is_silent = True, is_silent
        self.changed.set()
        if not is_silent:
            for writer in list(self.writers):
                reset(writer)

    def come_back(self, age_s=None):
        """Serves again; with an age, from a copy that was that old when the store left."""
        if age_s is not None:
            limit = time.monotonic() - age_s
            _, rows, version = [copy for copy in self.copies if copy[0] <= limit][-1]
            self.record.add(
                f"store: back from a copy, version {version} after {self.version}, era {self.era + 1}")
            self.rows, self.version, self.era = dict(rows), version, self.era + 1
        self.away = self.is_silent = False
        self.changed = asyncio.Event()

    def answer(self, status, document):
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json", "Store-Era": self.era}
        return message(f"HTTP/1.1 {status} X", headers, body)

    def listed(self, table, after):
        rows = []
        for (its_table, key), (value, version) in sorted(self.rows.items()):
            if its_table != table or (version <= after if after is not None else value is None):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            row |= {"tombstone": True} if value is None else {"value": base64.b64encode(value).decode()}
            rows.append(row)
        document = {"rows": rows, "ver": self.version, "now-ms": int(time.monotonic() * 1e3)}
        return document if after is not None else document | {"has-more": False}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while asked := await read_message(reader):
                await asyncio.sleep(0.004)
                era = self.era
                answer = self.answer(503, {}) if self.away else await self.handle(asked)
                if self.is_silent or era != self.era:
                    # A channel on which an answer was lost delivers nothing further.
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, asked):
        method, target, _ = asked[0].split()
        url = urllib.parse.urlparse(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/pomelospar/rows-tx" and method == "POST":
            return self.transact(json.loads(asked[2]))
        if url.path == "/pomelospar/rows-get":
            return self.answer(200, self.listed(query["table"], None))
        if url.path != "/pomelospar/rows-feed":
            return self.answer(404, {})
        after = int(query["after-rev"])
        end = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1e3
        while True:
            if self.away:
                return self.answer(503, {})
            # A version that the store doesn't have.
            if after > self.version:
                return self.answer(410, {})
            document = self.listed(query["table"], after)
            left = end - time.monotonic()
            if document["rows"] or left <= 0:
                return self.answer(200, document)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call["set-keys"] + call["remove"]:
            if row["table"] in ("op", "servers"):
                return self.answer(403, {})
        for row in call["expected-rev"]:
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if row["ver"] != (0 if value is None else version):
                return self.answer(412, {"rows": [], "ver": self.version})
        for row in call["set-keys"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call["remove"]:
            if self.rows.get((row["table"], row["key"]), (None, 0))[0] is not None:
                self.put(row["table"], row["key"], None)
        return self.answer(200, {"ver": self.version, "now-ms": int(time.monotonic() * 1e3)})


class Runner:
    """A runner of a plain service: some requests at once, a few more in its queue.

    With `poison`, a request whose body is equal to it crashes the runner as soon as it begins to run. The
    runner is back after `down_s`, as a new incarnation with a new identifier at the same address.
    """

    numbers = iter(range(1, 1 << 30))

    def __init__(self, store, record, service, zone, slots, work_s, poison=None, down_s=2.0):
        self.store, self.record = store, record
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.poison, self.down_s = poison, down_s
        self.identifier = ""
        self.born = 0
        self.beats = 0
        self.port = 0
        self.server = None
        self.room = None
        self.waiting = 0
        self.writers = set()
        self.is_up = False
        self.state = "ready"
        # Each request that began to run: time, attempt, body, source address.
        self.runs = []
        # Each request that arrived, also those that were turned away.
        self.arrivals = []
        self.crashes = []

    async def start(self):
        self.identifier = f"i-{next(self.numbers):04d}"
        self.born = int(time.time() * 1e3)
        self.beats = 0
        self.room = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        self.record.add(f"runner {self.identifier}: starts, {self.service} in {self.zone}")
        asyncio.ensure_future(self.heartbeats(self.identifier))

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold-left-ms": 0,
                "seq-no": self.beats, "born": self.born}

    def beat(self):
        if not self.is_up or self.store.away:
            return
        self.beats += 1
        self.store.put("servers", self.identifier, json.dumps(self.entry()).encode())

    def drain(self):
        """Reports that the runner leaves. It goes on serving."""
        self.state = "draining"
        self.beat()
        self.record.add(f"runner {self.identifier}: draining, acknowledged")

    def leave(self):
        """Ends the runner after it has drained; what still runs is cut off."""
        self.record.add(f"runner {self.identifier}: ends")
        self.is_up = False
        self.store.put("servers", self.identifier, None)
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def heartbeats(self, identifier):
        while self.is_up and identifier == self.identifier:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def expire(self, identifier):
        """The platform removes the entry of a silent runner after three heartbeats."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not self.store.away and self.store.rows.get(("servers", identifier), (None, 0))[0]:
            self.store.put("servers", identifier, None)

    def crash(self):
        self.record.add(f"runner {self.identifier}: crashes")
        self.crashes.append(time.monotonic())
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        asyncio.ensure_future(self.expire(self.identifier))
        asyncio.ensure_future(self.return_later())

    async def return_later(self):
        await asyncio.sleep(self.down_s)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while asked := await read_message(reader):
                writer.write(await self.handle(asked, writer))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, asked, writer):
        line, headers, body = asked
        attempt = headers.get("x-attempt-id")
        known = {"X-Attempt-Id": attempt} if attempt else {}
        source = writer.get_extra_info("peername")[0]
        if line.split()[1] == "/healthz":
            return message("HTTP/1.1 200 OK", {"X-Instance-Id": self.identifier})
        if headers.get("x-expect-instance", self.identifier) != self.identifier:
            return message("HTTP/1.1 421 X", known | {"X-Instance-Id": self.identifier})
        if attempt is None:
            return message("HTTP/1.1 400 X", {"X-Not-Executed": 1})
        self.arrivals.append((time.monotonic(), attempt, body, source))
        if self.waiting >= self.slots * 5:
            return message("HTTP/1.1 503 X", known | {"X-Not-Executed": 1})
        identifier = self.identifier
        self.waiting += 1
        try:
            async with self.room:
                if not self.is_up or identifier != self.identifier:
                    raise ConnectionError
                self.runs.append((time.monotonic(), attempt, body, source))
                self.record.add(f"run {attempt} at {self.identifier} in {self.zone}")
                if self.poison is not None and body == self.poison:
                    self.crash()
                    raise ConnectionError
                await asyncio.sleep(self.work_s)
        finally:
            if identifier == self.identifier:
                self.waiting -= 1
        stamp = {"X-Server-Stamp": f"{self.identifier}.{attempt}"}
        return message("HTTP/1.1 200 OK", known | stamp, b"done " + attempt.encode())


class Router:
    """One router process. The platform restarts it after a short delay if it ends."""

    restart_delay_s = 0.5

    def __init__(self, record, store, name, ip, zone, site, directory):
        self.record, self.name, self.ip, self.zone = record, name, ip, zone
        self.callers, self.ready = free_port(ip), free_port(ip)
        internal = free_port(ip)
        self.path = os.path.join(directory, f"{name}.toml")
        bounds = "\n".join(f"{key} = {value}" for key, value in site["bounds"].items())
        zones = "\n".join(f'{zone} = "r"' for zone in site["zones"])
        contracts = ", ".join(f'"{name}"' for name in site["contracts"])
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                name=name, ip=ip, zone=zone, callers=self.callers, ready=self.ready, internal=internal,
                internal_last=internal, store=store.address, bounds=bounds, zones=zones,
                contracts=contracts, memory_mb=site["memory-mb"], descriptors=site["max-fds"]))
        self.log = open(os.path.join(directory, f"{name}.log"), "ab")
        self.process = None
        self.started_at = 0.0

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            [ROUTER], cwd=REPOSITORY, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL,
            env=environment | {"POMELOSPAR_NODE_FILE": self.path})
        self.started_at = time.monotonic()
        self.record.add(f"router {self.name}: starts")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(message("GET /pomelospar/readyz HTTP/1.1", {"Host": "ready"}))
            answer = await asyncio.wait_for(read_message(reader), 1)
            return answer is not None and answer[0].split()[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def resident_mib(self):
        """Returns the resident memory of the process."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))

    def kill(self):
        self.record.add(f"router {self.name}: SIGKILL")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def restart(self):
        await asyncio.sleep(self.restart_delay_s)
        self.start()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Caller:
    """A caller with a kept connection to one router."""

    numbers = iter(range(1, 1 << 30))

    def __init__(self, record, router, key, name="caller"):
        self.record, self.router, self.key, self.name = record, router, key, name
        self.reader = self.writer = None

    async def send(self, path, method="POST", body=b"", deadline_ms=1500):
        """Returns the attempt, the status (0 if the connection ended) and the body of the answer."""
        attempt = f"{next(self.numbers):016x}"
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms}
        if self.key:
            headers["Authorization"] = f"Token {self.key}"
        self.record.add(f"send {attempt} {method} {path} to {self.router.name}")
        answer = None
        try:
            if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.router.ip, self.router.callers), 1)
            self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            await self.writer.drain()
            answer = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1e3)
        except (OSError, asyncio.TimeoutError):
            pass
        status = int(answer[0].split()[1]) if answer else 0
        self.record.add(f"answer {attempt} {status}")
        if not answer or answer[1].get("connection", "").lower() == "close":
            self.close()
        return attempt, status, answer[2] if answer else b""

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Deployment:
    """The store, the runners and the routers of one small deployment, and the operator's configuration."""

    def __init__(self, site, folder):
        self.site = site
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = None
        self.runners = []
        self.routers = []
        self.directory = tempfile.TemporaryDirectory()

    async def start(self, runners, router_zones):
        self.store = Store(self.record)
        await self.store.start()
        self.configure()
        for options in runners:
            runner = Runner(self.store, self.record, **options)
            self.runners.append(runner)
            await runner.start()
        for number, zone in enumerate(router_zones, 1):
            router = Router(self.record, self.store, f"edge-{zone}-{number}", f"127.0.0.{number + 1}", zone,
                            self.site, self.directory.name)
            self.routers.append(router)
            router.start()
        await self.until_ready()

    async def until_ready(self):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            if all([await router.is_ready() for router in self.routers]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the routers did not become ready")

    def configure(self):
        """Writes the operator's configuration, or writes it again."""
        self.store.put("op", "config", json.dumps(self.site["config"]).encode())

    def end(self):
        for router in self.routers:
            router.end()
        self.record.close()
        self.directory.cleanup()


def main(site, folder, case):
    """Runs `case(deployment)`, which returns what broke the rule, and exits as run.sh must."""
    if not ROUTER.exists():
        print("cannot run: build the router of the deploy file first")
        raise SystemExit(2)

    async def run():
        # A run that is told to stop ends its processes too.
        running = asyncio.current_task()
        for stop in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(stop, running.cancel)
        deployment = Deployment(site, folder)
        try:
            return await asyncio.wait_for(case(deployment), LIMIT_S)
        finally:
            deployment.end()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print(f"cannot run: {error!r}")
        raise SystemExit(2) from error
    for line in broken:
        print(line)
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
