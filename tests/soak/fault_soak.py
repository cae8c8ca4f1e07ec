"""A soak test of the routers for the users' platform with random faults on real processes.

    fault_soak.py --seeds 1-50 [--seconds 12] [--store-returns]

Each seed starts three routers against the platform stand-in, each with its own proxy to the store, and
two kinds of runners, each behind a proxy. Callers reuse their connections and send streams, bookings and
lookups while faults follow each other and overlap: proxies that delay, block one or both directions or
reset connections; a store that refuses or does not respond; routers that are shut down, paused, killed
and restarted or whose settings file changes; runners that drain, say that they leave, ask for rest, crash,
interrupt streams, hang or respond with errors; a part of prompts that crashes runners; keys that are
revoked. Meanwhile crowds connect to single routers, which have descriptors for a part of them only: they send
nothing, half a request, or a whole one, and stay connected. From what callers and runners observe it checks:

  - a booking runs at most once, and does not run if the caller got a 429 or 503
  - a success is the runner's complete response to this request; a stream has each event once, in order
  - a revoked key does not work longer than the limit
  - at most three requests with a part that crashes runners reach them late (see `CONTAINMENT_SECONDS`)
  - no router exits by itself, and one that is told to stop exits in time
  - after the last fault, all routers become ready and requests are served again

Prints one line for each seed and, if a check failed, the faults and the end of the routers' logs.
"""

import collections
import http.client
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "system"))
from platform_router import KEY, REVOCATION_LIMIT, Router, caller_headers, request_head, until  # noqa: E402
from proxy import Proxy  # noqa: E402
from seeds import run_seeds, seed_parser  # noqa: E402
from table_platform import Platform  # noqa: E402

ROUTERS = 3
CALLERS = 8
# Descriptors of a router, which leave places for 45 callers, and connections of a crowd.
DESCRIPTORS = 300
CROWD = 70
EVENTS = 8
# `grace-s` of the settings (8 s) plus time for the system to end the process, in seconds.
STOP_LIMIT = 8.5
# The users' bound `recover-s`, in seconds.
RECOVERY_LIMIT = 12.0
# Seconds allowed for a request whose key was accepted just before the limit to reach the runner.
IN_FLIGHT_SECONDS = 0.3
# The users' bound: at most this many requests with a part that crashes runners reach them later than this
# after the fifth crash, sent by routers that were not disturbed in that time.
CONTAINMENT_SECONDS = 3.0
REQUESTS_AFTER_CONTAINMENT = 3
CRASHES = 5
CRASHING_PART = "bad1"
# Time in seconds after which a crashed runner serves again.
RESTART_SECONDS = 1.0
WHOLE_STREAM = b"".join(f"id: {n}\ndata: part-{n}\n\n".encode() for n in range(1, EVENTS + 1))


class Caller(threading.Thread):
    """Sends requests one after another and reuses an open connection if there is one."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak, self.number = soak, number
        self.random = random.Random(f"{soak.seed} caller {number}")
        self.connections = {}

    def run(self):
        count = 0
        while not self.soak.over.is_set():
            count += 1
            router = self.random.choice(self.soak.routers)
            kind = self.random.choice("sbl")
            key = self.random.choice(self.soak.keys)
            self.send(f"{kind}-{self.number}-{count}", kind, router, key)
            time.sleep(self.random.uniform(0.0, 0.05))

    def send(self, identifier, kind, router, key):
        headers = caller_headers(identifier, key, deadline_ms=1500)
        if self.soak.crashing_part_is_sent and kind == "s" and self.random.random() < 0.2:
            headers["X-Prompt-Prefix"] = f"a1:500,{CRASHING_PART}:40,{self.random.getrandbits(48):x}:400"
        status, body = None, None
        self.soak.sent_with.append((identifier, key, time.monotonic()))
        connection = self.connections.pop(router, None)
        if connection is None:
            connection = http.client.HTTPConnection(router.ip, router.caller_port, timeout=4)
        try:
            # No two bodies are equal.
            body_sent = None if kind == "l" else identifier.encode()
            connection.request("GET" if kind == "l" else "POST", f"/{kind}/1", body_sent, headers)
            answer = connection.getresponse()
            status = answer.status
            body = answer.read()
            if answer.will_close:
                connection.close()
            else:
                self.connections[router] = connection
        except (OSError, http.client.HTTPException):
            connection.close()
        self.soak.results.append((identifier, kind, status, body))


class Soak:
    """Fleet, callers and fault injection of one seed; `violations` has a message for each failed check."""

    def __init__(self, seed, seconds, store_returns):
        self.seed, self.seconds, self.store_returns = seed, seconds, store_returns
        # Content of the store at some times of the last seconds.
        self.copies = collections.deque(maxlen=8)
        self.random = random.Random(seed)
        self.over = threading.Event()
        self.results, self.sent_with, self.faults, self.violations = [], [], [], []
        self.keys, self.revoked, self.version = [KEY, "key-a", "key-b"], {}, 3
        self.crashing_part_is_sent = False
        # Times of crashes under the crashing part, and begin and end of each disturbance of a router.
        self.crashes, self.disturbances = [], []
        # Runners that have crashed and not started again; changed by several threads.
        self.down, self.lock = set(), threading.Lock()
        self.platform = Platform()
        self.platform.configure(self.version, self.keys)
        self.runners, self.proxies = [], []
        for service, count in (("engines", 3), ("desk", 3)):
            for number in range(count):
                runner = self.platform.add_runner(f"i-{service}-{number}", service)
                proxy = Proxy(runner.port)
                runner.port = proxy.port
                runner.crashing_part = CRASHING_PART
                runner.on_crash = lambda runner=runner: self.on_crash_under_part(runner)
                self.platform.put("servers", runner.identifier, runner.entry())
                self.runners.append(runner)
                self.proxies.append(proxy)
        self.store_proxies = [Proxy(self.platform.store_port) for _ in range(ROUTERS)]
        self.routers = [
            Router(path.port, f"127.{seed % 250 + 1}.0.{number + 1}", descriptors=DESCRIPTORS)
            for number, path in enumerate(self.store_proxies)
        ]

    def send_crowds(self, end):
        """Opens crowds of connections to routers drawn at random, until `end`; draws apart from the faults."""
        draws = random.Random(f"crowds {self.seed}")
        while time.monotonic() < end:
            time.sleep(draws.uniform(0.5, 2.5))
            router = draws.choice(self.routers)
            self.record_fault(f"a crowd connects to {router.ip}")
            crowd = [self.connect_one_of_a_crowd(router, number) for number in range(CROWD)]
            time.sleep(draws.uniform(0.2, 2.0))
            for connection in filter(None, crowd):
                connection.close()

    def connect_one_of_a_crowd(self, router, number):
        head = request_head(f"crowd-{number}", "GET", "/l/1")
        try:
            connection = socket.create_connection((router.ip, router.caller_port), timeout=0.2)
            connection.sendall((b"", head[:20], head)[number % 3])
            return connection
        except OSError:
            return None

    def check(self, condition, message):
        if not condition:
            self.violations.append(message)

    def record_fault(self, text):
        self.faults.append(f"{time.monotonic() - self.begun:6.2f} {text}")

    # Faults. Each method returns the function that ends the fault, or None.

    def disturb_store_proxy(self):
        path, fault = self.random.choice(self.store_proxies), self.random.choice(["silent", "deaf", "mute", "refuse"])
        self.record_fault(f"store path {self.store_proxies.index(path)} {fault}")
        path.disturb(fault)
        return lambda: path.disturb(None)

    def disturb_runner(self):
        proxy, fault = self.random.choice(self.proxies), self.random.choice(["silent", "mute", "refuse"])
        self.record_fault(f"runner {self.proxies.index(proxy)} {fault}")
        proxy.disturb(fault)
        return lambda: proxy.disturb(None)

    def delay(self):
        proxy = self.random.choice(self.proxies + self.store_proxies)
        proxy.delay = self.random.uniform(0.005, 0.1)
        self.record_fault(f"delay {proxy.delay:.3f}")
        return lambda: setattr(proxy, "delay", 0.0)

    def fail_store(self):
        store, mode = self.platform.store, self.random.choice(["reset", "silent", 503, 429])
        self.record_fault(f"store {mode}")
        store.mode = mode
        return lambda: setattr(store, "mode", "ok")

    def return_store(self):
        """The store leaves and comes back from an older copy, in the next era; then all is written again."""
        store, mode = self.platform.store, self.random.choice(["reset", "silent", 503])
        copy = self.random.choice(list(self.copies))
        self.record_fault(f"store {mode}, comes back from a copy")
        store.mode = mode

        def come_back():
            self.platform.call(self.on_loop(lambda: store.return_from(copy)))
            store.mode = "ok"
            self.platform.configure(self.version, list(self.keys))
            with self.lock:
                listed = [runner for runner in self.runners if runner not in self.down]
            for runner in listed:
                self.platform.put("servers", runner.identifier, runner.entry())

        return come_back

    @staticmethod
    async def on_loop(function):
        return function()

    def fail_runner(self):
        runner = self.random.choice(self.runners)
        faults = ["break", "full", "error", "no_receipt", "unframed", "extra", "refuse_silently", "hang"]
        runner.fault = self.random.choice(faults)
        self.record_fault(f"{runner.identifier} {runner.fault}")
        return lambda: setattr(runner, "fault", None)

    def drain_runner(self):
        runner = self.random.choice(self.runners)
        self.record_fault(f"{runner.identifier} drains")
        self.platform.put("servers", runner.identifier, runner.entry("draining"))
        return lambda: self.platform.put("servers", runner.identifier, runner.entry())

    def rest_runner(self):
        runner = self.random.choice(self.runners)
        runner.rest = self.random.choice(["0.5", "2", "-1", "soon"])
        self.record_fault(f"{runner.identifier} asks for rest: {runner.rest}")
        return lambda: setattr(runner, "rest", None)

    def say_that_runner_leaves(self):
        runner = self.random.choice(self.runners)
        self.record_fault(f"{runner.identifier} says that it leaves")
        runner.leaving = True

        def start_another_run():
            runner.leaving = False
            runner.born += 1
            self.platform.put("servers", runner.identifier, runner.entry())

        return start_another_run

    def crash_runner(self):
        runner = self.random.choice(self.runners)
        if not self.close_runner(runner):
            return None
        self.record_fault(f"{runner.identifier} crashes")
        return lambda: self.restart_runner(runner)

    def on_crash_under_part(self, runner):
        if self.close_runner(runner):
            self.crashes.append(time.monotonic())
            threading.Timer(RESTART_SECONDS, self.restart_runner, [runner]).start()

    def close_runner(self, runner):
        """Resets the runner's connections and stops its listener; returns False if it is down already."""
        with self.lock:
            if runner in self.down:
                return False
            self.down.add(runner)
        self.proxies[self.runners.index(runner)].close()
        return True

    def restart_runner(self, runner):
        runner.born += 1
        self.proxies[self.runners.index(runner)].reopen()
        self.platform.put("servers", runner.identifier, runner.entry())
        with self.lock:
            self.down.discard(runner)

    def send_crashing_part(self):
        self.record_fault("callers send a part that crashes runners")
        self.crashing_part_is_sent = True

    def pause_router(self):
        router = self.random.choice(self.routers)
        self.record_fault(f"pause {router.ip}")
        router.process.send_signal(signal.SIGSTOP)
        return lambda: router.process.send_signal(signal.SIGCONT)

    def kill_router(self):
        router = self.random.choice(self.routers)
        self.record_fault(f"kill {router.ip}")
        router.process.kill()
        router.process.wait()
        return router.start

    def stop_router(self):
        router = self.random.choice(self.routers)
        self.record_fault(f"stop {router.ip}")
        router.process.send_signal(signal.SIGCONT)
        begun = time.monotonic()
        router.process.send_signal(signal.SIGTERM)

        def start():
            ended = until(lambda: router.process.poll() is not None, STOP_LIMIT - (time.monotonic() - begun))
            self.check(ended and router.process.returncode == 0, f"{router.ip} did not end in time")
            if not ended:
                router.process.kill()
            router.process.wait()
            router.start()

        return start

    def change_settings(self):
        router = self.random.choice(self.routers)
        with_signal = self.random.random() < 0.5
        self.record_fault(f"settings of {router.ip}, {'with' if with_signal else 'without'} a signal")
        with open(router.settings_path, "a", encoding="utf-8") as file:
            file.write("# changed\n")
        if with_signal:
            router.process.send_signal(signal.SIGHUP)

    def revoke_key(self):
        if len(self.keys) < 2 or self.platform.store.mode != "ok":
            return None
        key = self.keys.pop()
        self.record_fault(f"revoke {key}")
        self.version += 1
        self.platform.configure(self.version, list(self.keys))
        self.revoked[key] = time.monotonic()
        return None

    def run_faults(self):
        self.begun = time.monotonic()
        self.check(all(until(router.is_ready, 8) for router in self.routers), "not ready at the start")
        callers = [Caller(self, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + self.seconds
        crowds = threading.Thread(target=self.send_crowds, args=[end], daemon=True)
        crowds.start()
        undo = []
        kinds = [
            self.disturb_store_proxy, self.disturb_runner, self.delay, self.fail_store, self.fail_runner,
            self.drain_runner, self.rest_runner, self.say_that_runner_leaves, self.crash_runner,
            self.send_crashing_part, self.pause_router, self.kill_router, self.stop_router,
            self.change_settings, self.revoke_key,
        ]  # fmt: skip
        on_store = (self.fail_store, self.return_store)
        if self.store_returns:
            kinds += [self.return_store] * 3
        # Of these faults only one is active at a time: two on one router or on the store would be undone in the
        # wrong order.
        on_routers = (self.pause_router, self.kill_router, self.stop_router)
        while time.monotonic() < end:
            time.sleep(self.random.uniform(0.1, 0.9))
            kind, duration = self.random.choice(kinds), self.random.uniform(0.3, 4.0)
            if self.store_returns and self.platform.store.mode == "ok":
                self.copies.append(self.platform.call(self.on_loop(self.platform.store.copy)))
            group = on_routers if kind in on_routers else on_store if self.store_returns and kind in on_store else ()
            if all(entry[0] not in group for entry in undo):
                if kind in on_routers + (self.disturb_store_proxy, self.fail_store, self.return_store, self.delay):
                    self.disturbances.append((time.monotonic(), time.monotonic() + duration))
                restore = kind()
                if restore:
                    undo.append((kind, time.monotonic() + duration, restore))
            for entry in [entry for entry in undo if entry[1] <= time.monotonic()]:
                undo.remove(entry)
                entry[2]()
        for _, _, restore in undo:
            restore()
        crowds.join()
        self.record_fault("faults over")
        self.crashing_part_is_sent = False
        self.check(all(until(router.is_ready, RECOVERY_LIMIT) for router in self.routers), "not ready again")
        before = len(self.results)
        time.sleep(2.0)
        late = [status for _, _, status, _ in self.results[before:]]
        self.check(late.count(200) >= 0.9 * len(late) > 0, f"served {late.count(200)} of {len(late)} after the faults")
        self.over.set()
        for caller in callers:
            caller.join(6)
        for router in self.routers:
            self.check(router.process.poll() is None, f"{router.ip} ended by itself")
        self.check_results()

    def check_results(self):
        runs = {}
        for runner in self.runners:
            for request in runner.executed:
                runs.setdefault(request["headers"]["x-attempt-id"], []).append(request)
                key_named = request["headers"].get("authorization")
                self.check(key_named is None, "a runner was shown a key")
        for identifier, kind, status, body in self.results:
            ran = len(runs.get(identifier, []))
            if kind == "b":
                self.check(ran <= 1, f"{identifier} ran {ran} times")
                self.check(status not in (429, 503) or ran == 0, f"{identifier} got {status} and ran")
            if status != 200 or body is None:
                continue
            self.check(ran > 0, f"{identifier} got 200 and did not run")
            whole = WHOLE_STREAM if kind == "s" else f"whole answer to {identifier}".encode()
            self.check(body == whole, f"{identifier} got {body[:80]!r}")
        for identifier, key, at in self.sent_with:
            limit = self.revoked.get(key, at) + REVOCATION_LIMIT + IN_FLIGHT_SECONDS
            late = [run for run in runs.get(identifier, []) if run["at"] > limit and at > limit]
            self.check(not late, f"{identifier} ran with {key} after it was taken away")

        self.check_containment()

    def check_containment(self):
        if len(self.crashes) < CRASHES:
            return
        limit = sorted(self.crashes)[CRASHES - 1] + CONTAINMENT_SECONDS
        late = [
            request["at"] - self.begun
            for runner in self.runners
            for request in runner.requests
            if CRASHING_PART in request["headers"].get("x-prompt-prefix", "") and request["at"] > limit
            if all(not begin < request["at"] < end + CONTAINMENT_SECONDS for begin, end in self.disturbances)
        ]
        self.check(len(late) <= REQUESTS_AFTER_CONTAINMENT, f"the part reached runners {len(late)} times: {late}")

    def end(self):
        self.over.set()
        for router in self.routers:
            router.end()


def run(seed, seconds, store_returns):
    """Runs one seed; returns whether all checks passed."""
    soak = Soak(seed, seconds, store_returns)
    try:
        soak.run_faults()
        served = sum(status == 200 for _, _, status, _ in soak.results)
        print(
            f"seed {seed}: {len(soak.results)} requests, {served} served, {len(soak.crashes)} crashes under a part, "
            f"{len(soak.violations)} broken",
            flush=True,
        )
        for message in soak.violations[:10]:
            print("  broken:", message)
        if soak.violations:
            print("  faults:", *soak.faults, sep="\n    ")
            for router in soak.routers:
                with open(router.log_path, encoding="utf-8", errors="replace") as file:
                    print(f"  log of {router.ip}:", *file.readlines()[-40:], sep="\n    ")
        return not soak.violations
    finally:
        soak.end()


def main():
    parser = seed_parser(__doc__, 12.0)
    parser.add_argument("--store-returns", action="store_true",
                        help="the store also comes back from older copies; plays other faults with a seed")  # fmt: skip
    arguments = parser.parse_args()
    run_seeds(arguments.seeds, lambda seed: run(seed, arguments.seconds, arguments.store_returns))


if __name__ == "__main__":
    main()
