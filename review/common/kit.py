"""Stand-ins for the users' platform, their runners and their requesters, and the routers under test.

Everything runs on one event loop of this process; only the routers are processes of their own, started with
the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "system"))
from table_platform import Store, read_message, response  # noqa: E402

# The command of deploy/system.toml, from the repository's root.
ROUTER_COMMAND = ["target/bin/pomelospar_edge"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "a.example"
KEYS = {"tenant-a": "key-a", "tenant-b": "key-b"}

# The fields and bounds of a machine of the site sites/afm-pomelo.toml.
SETTINGS = """
node-name = "edge-{zone}-{number}"
role = "router"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [{internal}, {internal}]
seeds = []
is-bootstrap = true
in-fault-budget = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
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
address = "127.0.0.1:{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
part-writes-per-s = 200
row-bytes = 65536
across = false
history-s = 20
"""


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes one line for each event to record.txt."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def write(self, event, **fields):
        line = {"s": round(self.now(), 3), "event": event} | fields
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Router:
    """One router process."""

    def __init__(self, record, store_port, number, zone):
        self.record, self.number = record, number
        self.ip = f"127.0.0.{10 + number}"
        self.callers, self.ready = free_port(self.ip), free_port(self.ip)
        self.folder = tempfile.TemporaryDirectory()
        self.settings = os.path.join(self.folder.name, "boot.toml")
        text = SETTINGS.format(
            number=number, zone=zone, ip=self.ip, internal=free_port(self.ip),
            callers=self.callers, ready=self.ready, store=store_port)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = open(os.path.join(self.folder.name, "log"), "ab")
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["POMELOSPAR_NODE_FILE"] = self.settings
        self.process = subprocess.Popen(
            ROUTER_COMMAND, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.write("router_start", router=self.number, pid=self.process.pid)

    def signal(self, number):
        self.record.write("signal", router=self.number, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def exited(self, seconds):
        """Waits for the process to exit; returns its exit code, or None."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                self.record.write("router_exit", router=self.number, code=self.process.returncode)
                return self.process.returncode
            await asyncio.sleep(0.01)
        return None

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ip, self.ready, "GET", "/pomelospar/readyz", {}, seconds=1)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def log_text(self):
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()
        if os.environ.get("KEEP_LOGS"):
            pathlib.Path(os.environ["KEEP_LOGS"], f"router-{self.number}.log").write_text(self.log_text())
        self.folder.cleanup()


async def read_answer(reader):
    """Reads one HTTP response: (status, headers, body); the body is None if it is incomplete."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return status, headers, body
                body += piece[:-2]
        return status, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, None


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(ip, port, method, path, headers, body=b"", seconds=10):
    """Sends one request on a new channel. Returns status None if the channel ends without an answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    try:
        writer.write(request_bytes(method, path, {"Host": HOST} | headers, body))
        return await asyncio.wait_for(read_answer(reader), seconds)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None, {}, None
    finally:
        writer.close()


class Runner:
    """A sound runner: `slots` requests at a time, a short queue, X-Expect-Instance, whole answers.

    `crashes_on(headers, line)` names the requests that end it as soon as it begins to run them: the listener
    closes and all channels are reset. It is back at its address after `back_after` seconds, with a new id.
    """

    def __init__(self, world, name, service, zone, slots=6, work_s=0.03):
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.crashes_on, self.back_after = None, 3.0
        # Time from the arrival of a request until it begins to run.
        self.begin_s = 0.0
        self.start_number = 0
        self.port = 0
        self.server = None
        self.writers = set()
        self.free = None
        self.extra_headers = []
        self.identifier = None
        self.born = 0

    async def start(self):
        self.start_number += 1
        self.identifier = f"i-{self.name}-{self.start_number}"
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.publish()

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold-left-ms": 0, "seq-no": 1, "born": self.born,
        }

    def publish(self, state="ready"):
        self.world.store.put("servers", self.identifier, json.dumps(self.entry(state)).encode())

    def withdraw(self):
        self.world.store.remove("servers", self.identifier)

    def crash(self):
        self.world.record.write("runner_crash", runner=self.identifier)
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.world.tasks.append(asyncio.ensure_future(self.return_later(self.identifier)))

    async def return_later(self, identifier):
        await asyncio.sleep(self.back_after)
        # The entry of the run before is gone when the new run registers.
        self.world.store.remove("servers", identifier)
        await self.start()
        self.world.record.write("runner_back", runner=self.identifier)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                if not await self.answer(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def known_headers(self, attempt):
        return [("X-Attempt-Id", attempt), ("X-Server-Stamp", f"stamp.{self.identifier}")] + self.extra_headers

    async def answer(self, message, reader, writer):
        line, headers, body = message
        attempt = headers.get("x-attempt-id", "")
        fields = {"attempt": attempt, "runner": self.identifier, "line": line, "tenant": headers.get("x-tenant")}
        if headers.get("x-expect-instance", self.identifier) != self.identifier:
            self.world.record.write("misdirected", **fields)
            writer.write(response(421, b"", [("X-Instance-Id", self.identifier)]))
            return True
        self.world.arrivals.append((self.world.record.now(), attempt, self.identifier))
        self.world.record.write("arrival", **fields)
        run = self.identifier
        async with self.free:
            await asyncio.sleep(self.begin_s)
            if run != self.identifier or writer.transport.is_closing():
                return False
            self.world.runs.append((self.world.record.now(), attempt, run))
            self.world.record.write("run", **fields)
            if self.crashes_on and self.crashes_on(line, headers):
                self.crash()
                return False
            return await self.work(fields, line, headers, body, writer)

    async def work(self, fields, line, headers, body, writer):
        await asyncio.sleep(self.work_s)
        writer.write(response(200, f"whole answer to {fields['attempt']}".encode(),
                              self.known_headers(fields["attempt"])))
        await writer.drain()
        self.world.ended.add(fields["attempt"])
        self.world.record.write("run_end", attempt=fields["attempt"], runner=fields["runner"])
        return True


class World:
    """The store, the runners, the routers and the record of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.store_port = 0
        self.store_server = None
        self.runners, self.routers, self.tasks = [], [], []
        self.arrivals, self.runs, self.ended = [], [], set()
        self.attempts = 0
        self.over = False

    async def start(self, routers, zones=("zone-a", "zone-b", "zone-c")):
        self.store.changed = asyncio.Event()
        self.store_server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = self.store_server.sockets[0].getsockname()[1]
        self.routers = [Router(self.record, self.store_port, n, zones[n % len(zones)]) for n in range(routers)]

    async def add_runners(self, service, count, zones=("zone-a", "zone-b", "zone-c"), kind=Runner, **options):
        added = [kind(self, f"{service}{n}", service, zones[n % len(zones)], **options) for n in range(count)]
        for runner in added:
            await runner.start()
        self.runners += added
        return added

    def configure(self, version, routes, services, tenants=None):
        document = {
            "version": version,
            "routes": [{"host": HOST, "goal-ms": 150, "priority": 1, "public": False} | route for route in routes],
            "services": services,
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000, "tokens-per-s": 410000},
            "tenants": [{"name": name, "api-keys": [key]} for name, key in (tenants or KEYS).items()],
        }
        self.store.put("op", "config", json.dumps(document).encode())
        self.record.write("config", version=version)

    async def start_routers(self):
        for router in self.routers:
            router.start()
        return await self.all_ready()

    async def all_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ready = [await router.is_ready() for router in self.routers]
            if all(ready):
                return True
            await asyncio.sleep(0.05)
        return False

    def next_attempt(self, name):
        self.attempts += 1
        return f"{name}-{self.attempts:04d}"

    async def send(self, router, name, method, path, body=b"", tenant="tenant-a", deadline_ms=1500, headers=()):
        """Sends one requester attempt on a new channel; returns (attempt, status, headers, body)."""
        attempt = self.next_attempt(name)
        sent = {"X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms)} | dict(headers)
        if tenant:
            sent["Authorization"] = f"Token {KEYS[tenant]}"
        self.record.write("send", attempt=attempt, router=router.number, line=f"{method} {path}")
        try:
            status, answered, content = await call(
                router.ip, router.callers, method, path, sent, body, deadline_ms / 1e3 + 2)
        except (OSError, asyncio.TimeoutError) as error:
            status, answered, content = None, {"error": type(error).__name__}, None
        self.record.write("answer", attempt=attempt, status=status, whole=content is not None,
                          stamp=answered.get("x-server-stamp"))
        return attempt, status, answered, content

    async def send_sound_work(self, number, path):
        """Sound requests of another tenant, one after the other, until `over`; what is cut shows in `cut_beside`."""
        while not self.over:
            headers = {"X-Model": "m", "X-Token-Usage": "300,20", "X-Prompt-Prefix": f"c3:100,{number + 4096:x}:200"}
            router = self.routers[(number + self.attempts) % len(self.routers)]
            await self.send(router, "sound", "POST", f"{path}{number}", f"sound {number}".encode(), tenant="tenant-b",
                            deadline_ms=12000, headers=headers)
            await asyncio.sleep(0.02)

    def cut_beside(self):
        """Returns the sound requests that had begun to run and were cut off."""
        return sorted({a for _, a, _ in self.runs if a.startswith("sound") and a not in self.ended})

    def end(self):
        for router in self.routers:
            router.end()


def main(folder, play):
    """Plays one script; `play(world)` returns a text if the rule was broken, or None. Exits with 1, 0 or 2."""
    world = World(folder)

    async def run():
        return await asyncio.wait_for(play(world), 115)

    code, result = 2, ""
    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
        result = f"broken: {broken}" if broken else "held"
        world.record.write("result", broken=broken, trouble=TROUBLE)
    except Exception as error:  # The case could not run.
        result = f"could not run: {error!r}"
        world.record.write("result", error=repr(error))
    finally:
        world.end()
    print(result, flush=True)
    # Skips the end of tasks that are still waiting.
    os._exit(code)
