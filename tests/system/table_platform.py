"""A stand-in for the users' platform: its table store and runners that speak its protocol.

Both run on one event loop in a background thread of the test and can inject faults. They implement only
the part of the protocol that the tests use.
"""

import asyncio
import base64
import json
import threading
import time
import urllib.parse

from connection_reset import reset_connection


async def read_message(reader):
    """Reads an HTTP message as (first line, headers by lower-case name, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def response(status, body=b"", headers=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode() + b"\r\n" + body


def part_identifiers(headers):
    """Returns the identifiers of the parts of the request's prompt."""
    return [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")]


class Store:
    """Versioned rows by table and key.

    `mode` is "ok", "reset" (closes connections), "silent" (never responds), an HTTP error status or a key of
    `ENDLESS_RESPONSES`, which sends bytes until the connection is closed.
    `write_mode` concerns writes only, while reads are served: "ok", "lost" (a write is applied, but the
    connection is closed without a response) or an HTTP error status, with which nothing is written.

    The store may come back from a copy (`copy`, `return_from`): what was written since is lost, versions are
    given out again, and `era`, which is in the header of each response, rises by one.
    """

    def __init__(self):
        self.rows = {}
        self.version = 1
        # Value of the header Store-Era, or None to send none.
        self.era = 1
        # Added to the steady clock of the responses, in milliseconds.
        self.clock_offset_ms = 0
        self.mode = "ok"
        self.write_mode = "ok"
        # Time in seconds that a read of a table takes, by table.
        self.read_seconds = {}
        # Key of the row and status of the response of each write that arrived while `mode` was "ok", in order.
        self.writes = []
        self.oldest_version = 0
        self.calls = 0
        self.changed = None

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.changed.set()
        self.changed.clear()

    def remove(self, table, key):
        self.put(table, key, None)

    def copy(self):
        return dict(self.rows), self.version

    def return_from(self, copy):
        """Replaces the content by the copy and begins the next era. Calls in progress get no response."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.era += 1
        self.changed.set()
        self.changed.clear()

    def now_ms(self):
        return int(time.monotonic() * 1e3) + self.clock_offset_ms

    def respond(self, status, body=b""):
        return response(status, body, [("Store-Era", self.era)] if self.era is not None else [])

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
        return json.dumps(
            {"rows": rows, "has-more": False, "ver": self.version, "now-ms": self.now_ms()}
        ).encode()

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            self.calls += 1
            if self.mode == "reset":
                break
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode in ENDLESS_RESPONSES:
                try:
                    await send_without_end(writer, self.mode, [])
                except ConnectionError:
                    break
            if self.mode != "ok":
                writer.write(self.respond(self.mode))
                continue
            era = self.era
            answer = await self.handle(message)
            if answer is None:
                break
            if era != self.era or self.mode == "silent":
                # Nothing further is delivered on a connection on which a response was lost.
                await reader.read()
                break
            writer.write(answer)
        writer.close()

    async def handle(self, message):
        line, _, body = message
        url = urllib.parse.urlparse(line.split()[1])
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path.endswith("rows-tx"):
            return self.write(json.loads(body))
        await asyncio.sleep(self.read_seconds.get(query["table"], 0))
        if url.path.endswith("rows-get"):
            return self.respond(200, self.answer(query["table"]))
        after = int(query["after-rev"])
        if after < self.oldest_version or after > self.version:
            return self.respond(410)
        end = time.monotonic() + int(query["wait-ms"]) / 1e3
        while time.monotonic() < end and self.mode == "ok":
            if any(t == query["table"] and v > after for (t, _), (_, v) in self.rows.items()):
                break
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if after < self.oldest_version:
            return self.respond(410)
        return self.respond(200, self.answer(query["table"], after))

    def write(self, call):
        """Returns the response to a write, or None if it is lost."""
        refused = isinstance(self.write_mode, int)
        answer = self.respond(self.write_mode) if refused else self.transact(call)
        status = int(answer.split()[1])
        self.writes += [(row["key"], status) for row in call["set-keys"] + call["remove"]]
        return None if self.write_mode == "lost" else answer

    def transact(self, call):
        for condition in call["expected-rev"]:
            known = self.rows.get((condition["table"], condition["key"]), (None, 0))
            if condition["ver"] != (known[1] if known[0] is not None else 0):
                return self.respond(412, json.dumps({"rows": []}).encode())
        for row in call["set-keys"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call["remove"]:
            self.remove(row["table"], row["key"])
        return self.respond(200, json.dumps({"ver": self.version, "now-ms": self.now_ms()}).encode())


# Responses that never end, by fault name: the bytes sent once and the bytes then repeated. `{known}` is
# replaced by the headers of a valid response.
ENDLESS_RESPONSES = {
    "endless_status": ("HTTP/1.1 200 ", "x" * 16384),
    "endless_head": ("HTTP/1.1 200 OK\r\nX-Long: ", "x" * 16384),
    "endless_headers": ("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n" * 1024),
    "endless_interim": ("", "HTTP/1.1 103 Early Hints\r\n\r\n" * 512),
    "endless_chunk_size": (
        "HTTP/1.1 200 OK\r\n{known}Transfer-Encoding: chunked\r\n\r\n1;", "x" * 16384),
    "endless_trailers": (
        "HTTP/1.1 200 OK\r\n{known}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        "X-More: 1\r\n" * 1024),
    "endless_chunks": (
        "HTTP/1.1 200 OK\r\n{known}Transfer-Encoding: chunked\r\n\r\n",
        "4000\r\n" + "x" * 16384 + "\r\n"),
    "endless_unframed": ("HTTP/1.1 200 OK\r\n{known}\r\n", "x" * 16384),
    "endless_left_over": ("HTTP/1.1 200 OK\r\n{known}Content-Length: 2\r\n\r\nok", "x" * 16384),
    "endless_event": (
        "HTTP/1.1 200 OK\r\n{known}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4000\r\n" + "x" * 16384 + "\r\n"),
    "endless_refusal": (
        "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4000\r\n" + "x" * 16384 + "\r\n"),
    "endless_other": (
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4000\r\n" + "x" * 16384 + "\r\n"),
}


async def send_without_end(writer, fault, known, sent=lambda count: None):
    """Sends the endless response until the connection is closed; calls `sent` with the bytes of each piece."""
    start, repeated = ENDLESS_RESPONSES[fault]
    writer.write(start.replace("{known}", "".join(f"{n}: {v}\r\n" for n, v in known)).encode())
    while True:
        writer.write(repeated.encode())
        await writer.drain()
        sent(len(repeated))


# Start of each response that continues with a few bytes every 100 ms, by fault name.
SLOW_RESPONSES = {
    "trickle_head": "HTTP/1.1 200 OK\r\nX-Slow: ",
    "trickle_event": (
        "HTTP/1.1 200 OK\r\n{known}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"),
}


class Runner:
    """A runner that responds with a stream of `events` events, or a short body for other paths.

    `fault` is None or one of "break" (resets after `break_after` events), "full", "other_instance",
    "error", "no_receipt", "unframed", "extra" (a second response after each), "refuse_silently" (a 503
    that does not say that nothing ran), "crash", "hang", and the keys of `ENDLESS_RESPONSES` and
    `SLOW_RESPONSES`, which send bytes until the connection is closed. With `crashing_part`, a request
    whose prompt has this part ends the runner as soon as it is executed. "cut_head" closes the connection
    after `cut_after` bytes of the response's head. "unframed" responses have neither a length nor chunks;
    those that are "unframed_reset" or "unframed_inside_event" are broken off.
    """

    def __init__(self, identifier, service):
        self.identifier = identifier
        self.service = service
        self.born = 1700000000000
        self.domain = "a"
        self.cold_left_ms = 0
        self.fault = None
        # True if the runner says in its responses that it leaves.
        self.leaving = False
        # Retry-After, as text, of the 503 with which the runner turns requests away, or None.
        self.rest = None
        # "named" or "unnamed", with or without X-Attempt-Id: each 421 is sent a second time, directly before
        # the next response on its connection.
        self.repeats_421 = None
        self.late_copies = {}
        self.crashing_part = None
        self.execution_seconds = 0.0
        self.break_after = 3
        self.cut_after = 0
        self.events = 8
        self.event_interval = 0.005
        self.requests = []
        # Requests that began to run; those with an endless or slow response are not recorded.
        self.executed = []
        self.cancelled = []
        self.endless_bytes_sent = 0
        self.port = 0
        self.server = None
        self.writers = set()
        # Time at which the runner crashed, or None while it serves.
        self.crashed_at = None
        # Called instead of closing the listener if the runner's address is not its own.
        self.on_crash = None

    def crash(self, writer):
        """Closes the listener and resets the connection, like a process that crashes."""
        self.server.close()
        reset_connection(writer)

    def end(self):
        """Closes the listener and resets all connections, like a process that crashes."""
        self.crashed_at = time.monotonic()
        if self.on_crash:
            self.on_crash()
            return
        self.server.close()
        for writer in self.writers:
            reset_connection(writer)

    def entry(self, state="ready"):
        return json.dumps(
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.domain,
                "version": "v1",
                "slots": 8,
                "state": state,
                "cold-left-ms": self.cold_left_ms,
                "seq-no": 1,
                "born": self.born,
            }
        ).encode()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve_requests(reader, writer)
        finally:
            self.writers.discard(writer)

    async def serve_requests(self, reader, writer):
        while message := await read_message(reader):
            line, headers, body = message
            self.requests.append({"line": line, "headers": headers, "body": body, "at": time.monotonic()})
            try:
                keep_alive = await self.answer(line, headers, reader, writer)
            except ConnectionError:
                self.cancelled.append((headers["x-attempt-id"], time.monotonic()))
                break
            if not keep_alive:
                break
        writer.close()

    async def answer(self, line, headers, reader, writer):
        identifier = headers["x-attempt-id"]
        known = [("X-Attempt-Id", identifier), ("X-Server-Stamp", f"stamp-{self.identifier}")]
        if self.leaving:
            known.append(("Server-Leaving", "1"))
        if self.rest is not None:
            refused = [("X-Attempt-Id", identifier), ("X-Not-Executed", "1"), ("Retry-After", self.rest)]
            writer.write(response(503, b"", refused))
            return True
        if self.fault == "full":
            writer.write(response(503, b"", [("X-Attempt-Id", identifier), ("X-Not-Executed", "1")]))
            return True
        writer.write(self.late_copies.pop(writer, b""))
        if self.fault == "other_instance" or headers.get("x-expect-instance") != self.identifier:
            refusal = self.misdirected(identifier)
            if self.repeats_421:
                self.late_copies[writer] = refusal
            writer.write(refusal)
            return True
        if self.fault in SLOW_RESPONSES:
            return await self.send_slow_response(known, writer)
        if self.fault in ENDLESS_RESPONSES:
            return await self.send_endless_response(known, writer)
        self.executed.append({"headers": headers, "at": time.monotonic()})
        await asyncio.sleep(self.execution_seconds)
        if self.crashing_part and self.crashing_part in part_identifiers(headers):
            if len(self.requests) % 2:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
                await writer.drain()
            self.end()
            return False
        if self.fault == "error":
            writer.write(response(500, b"broken", known))
            return True
        if self.fault == "refuse_silently":
            writer.write(response(503, b"", known))
            return True
        if self.fault == "crash":
            self.crash(writer)
            return False
        if self.fault == "hang":
            if await reader.read(1) == b"":
                self.cancelled.append((identifier, time.monotonic()))
            return False
        if self.fault == "no_receipt":
            writer.write(response(200, b"spoiled", known[:1]))
            return True
        if self.fault == "cut_head":
            writer.write(response(200, b"", known)[: self.cut_after])
            return False
        if line.split()[1].startswith("/s/"):
            if self.fault in ("unframed", "unframed_reset", "unframed_inside_event"):
                return await self.stream_unframed(known, writer)
            return await self.stream(headers, known, writer)
        body = f"whole answer to {identifier}".encode()
        if self.fault in ("unframed", "unframed_reset"):
            head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in known) + "\r\n"
            writer.write(head.encode() + body)
            if self.fault == "unframed_reset":
                await self.reset(writer)
            return False
        writer.write(response(200, body, known))
        if self.fault == "extra":
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(response(200, b"late answer to " + identifier.encode(), known))
        return True

    def misdirected(self, identifier):
        if self.repeats_421 is None:
            return response(421, b"", [("X-Instance-Id", "i-unknown")])
        named = [("X-Attempt-Id", identifier)] if self.repeats_421 == "named" else []
        return response(421, b"", named + [("X-Instance-Id", self.identifier)])

    async def send_slow_response(self, known, writer):
        lines = "".join(f"{n}: {v}\r\n" for n, v in known)
        writer.write(SLOW_RESPONSES[self.fault].replace("{known}", lines).encode())
        while True:
            writer.write(b"x" if self.fault == "trickle_head" else b"1\r\nx\r\n")
            await writer.drain()
            await asyncio.sleep(0.1)

    async def send_endless_response(self, known, writer):
        def count(size):
            self.endless_bytes_sent += size

        await send_without_end(writer, self.fault, known, count)

    async def reset(self, writer):
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)

    async def stream_unframed(self, known, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        writer.write((head + "".join(f"{n}: {v}\r\n" for n, v in known) + "\r\n").encode())
        for number in range(1, self.events + 1):
            writer.write(f"id: {number}\ndata: part-{number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self.event_interval)
            if number == self.break_after and self.fault == "unframed_inside_event":
                writer.write(f"id: {number + 1}\nda".encode())
                return False
            if number == self.break_after and self.fault == "unframed_reset":
                await self.reset(writer)
                return False
        return False

    async def stream(self, headers, known, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write((head + "".join(f"{n}: {v}\r\n" for n, v in known) + "\r\n").encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            if self.fault == "break" and number - first == self.break_after:
                # Sends part of an event, then resets the connection.
                writer.write(b"4\r\nid: \r\n")
                await writer.drain()
                writer.transport.abort()
                return False
            event = f"id: {number}\ndata: part-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_interval)
        writer.write(b"0\r\n\r\n")
        return True


class Platform:
    """The store and the runners, on an event loop in a background thread."""

    def __init__(self):
        self.store = Store()
        self.loop = asyncio.new_event_loop()
        self.store_port = 0
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.call(self._start())

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    async def _start(self):
        self.store.changed = asyncio.Event()
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        async def put():
            self.store.put(table, key, value)

        self.call(put())

    def remove(self, table, key):
        async def remove():
            self.store.remove(table, key)

        self.call(remove())

    def add_runner(self, identifier, service, domain="a"):
        runner = Runner(identifier, service)
        runner.domain = domain

        async def start():
            runner.server = await asyncio.start_server(runner.serve, "127.0.0.1", 0)
            runner.port = runner.server.sockets[0].getsockname()[1]

        self.call(start())
        self.put("servers", identifier, runner.entry())
        return runner

    def restart_under_same_identifier(self, runner):
        """Ends a runner and starts another run of it, with its identifier and address."""
        self.end_runner(runner)
        return self.restart_runner(runner, runner.identifier)

    def end_runner(self, runner):
        async def end():
            runner.end()

        self.call(end())

    def restart_runner(self, runner, identifier):
        """Starts a new run of a crashed runner at its address, with a new identifier."""
        successor = Runner(identifier, runner.service)
        successor.born = runner.born + 1
        successor.crashing_part = runner.crashing_part
        successor.execution_seconds = runner.execution_seconds
        successor.event_interval = runner.event_interval
        successor.port = runner.port

        async def start():
            successor.server = await asyncio.start_server(successor.serve, "127.0.0.1", runner.port)

        self.call(start())
        if identifier != runner.identifier:
            self.remove("servers", runner.identifier)
        self.put("servers", identifier, successor.entry())
        return successor

    def configure(self, version, keys, extra_routes=(), cold=None):
        """Writes a configuration; `cold` is the time in seconds for which a runner is cold, and its rate."""
        engine = {"slots": 8, "kv-capacity": 100000, "stride": 5}
        common = {"host": "a.example", "goal-ms": 600, "priority": 1, "public": False}
        routes = [
            common
            | {"name": "stream", "prefix": "/s/", "route-kind": "streaming", "timeout-ms": 5000}
            | {"service": "engines", "max-attempts": 2, "resumable": True, "gap-aim-ms": 250},
            common
            | {"name": "booking", "prefix": "/b/", "route-kind": "non_idempotent", "timeout-ms": 1000}
            | {"service": "desk", "max-attempts": 2},
            common
            | {"name": "look", "prefix": "/l/", "route-kind": "idempotent", "timeout-ms": 1000}
            | {"service": "desk", "max-attempts": 2},
        ]
        document = {
            "version": version,
            "routes": routes + [common | route for route in extra_routes],
            "services": [
                {"name": "engines", "max-conns": 50, "engine": engine},
                {"name": "desk", "max-conns": 50},
            ],
            "limits": {"tokens-per-s": 100000, "idle-timeout-ms": 5000, "header-timeout-ms": 3000},
            "tenants": [{"name": "hule", "api-keys": keys}],
        }
        if cold:
            for service in document["services"]:
                service.update({"cold-start-s": cold[0], "cold-per-s": cold[1]})
        self.put("op", "config", json.dumps(document).encode())
