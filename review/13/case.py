"""A look-up that crashes the runners which run it comes again after all routers were killed at once."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import stand_ins  # noqa: E402
from stand_ins import DESK, Platform, Router, exchange, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLACES = (("127.0.0.1", "fes-a"), ("127.0.0.2", "meknes-b"), ("127.0.0.3", "tanger-c"))
CONTACT_SECONDS = 3.0
# Rule BUDGET: a crashing request reaches runners in more than three retries after the third crash.
CRASHES, RETRIES = 3, 3
BACK_SECONDS = 2.0
AGAIN_SECONDS = 4.0
KILL_AT_SECONDS = 20.0
RESTART_DELAY_SECONDS = 0.5
SECONDS = 50.0


class CrashingRunner(stand_ins.Runner):
    """Crashes while it runs a request whose path says so, and is back under a new identifier."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers = set()
        self.arrivals = []
        self.crashes = []

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, line, headers, body, reader, writer):
        if "/crash" not in line or headers.get("x-expect-instance") != self.identifier:
            await super().answer(line, headers, body, reader, writer)
            return
        self.arrivals.append((time.monotonic(), headers["x-attempt-id"]))
        await asyncio.sleep(self.work)
        self.crashes.append(time.monotonic())
        self.server.close()
        for connection in list(self.writers):
            connection.transport.abort()
        asyncio.ensure_future(self.come_back())
        raise ConnectionResetError

    async def come_back(self):
        await asyncio.sleep(BACK_SECONDS)
        former, self.identifier = self.identifier, f"{self.identifier}x"
        self.born = int(time.time() * 1e3)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)
        self.platform.store.put("servers", former, None)
        self.platform.store.put("servers", self.identifier, self.entry())


class Case:
    def __init__(self, record):
        self.record = record
        stand_ins.Runner = CrashingRunner
        self.platform = Platform(engines=1, desks=3)
        self.routers = [Router(self.platform, ip, zone) for ip, zone in PLACES]
        self.began = time.monotonic()
        # When the processes of the routers were started last, and which router got which attempt.
        self.started = self.began
        self.by_attempt = {}

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:7.2f} s  {text}\n")
        self.record.flush()

    async def come_again_and_again(self):
        end = time.monotonic() + SECONDS
        number = 0
        while time.monotonic() < end:
            number += 1
            router = self.routers[number % len(self.routers)]
            attempt = f"crash-{number}"
            self.by_attempt[attempt] = router.ip
            data = request("GET", "/cufi504/crash", attempt)
            status = (await exchange((router.ip, router.callers), data, 2.0))[0]
            self.note(f"{attempt} at {router.ip}: {status}")
            await asyncio.sleep(AGAIN_SECONDS)

    async def kill_all(self):
        await asyncio.sleep(KILL_AT_SECONDS)
        for router in self.routers:
            router.process.kill()
            router.process.wait()
        self.note("all routers killed")
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        for router in self.routers:
            router.start()
        self.started = time.monotonic()
        self.note("all routers start again")

    async def play(self):
        tasks = [self.come_again_and_again()]
        if TROUBLE:
            tasks.append(self.kill_all())
        await asyncio.gather(*tasks)

    def judge(self, killed_at):
        desks = [runner for runner in self.platform.runners if runner.service == DESK]
        crashes = sorted(at for runner in desks for at in runner.crashes)
        arrivals = sorted(arrival for runner in desks for arrival in runner.arrivals)
        self.note(f"crashes: {[round(at - self.began, 2) for at in crashes]}")
        if len(crashes) < CRASHES:
            return 2
        since = crashes[CRASHES - 1] + CONTACT_SECONDS
        late = []
        for at, attempt in arrivals:
            # A router that was killed or started within the last `contact-ms` is not in touch.
            in_touch = not TROUBLE or at < killed_at or at > self.started + CONTACT_SECONDS
            if at > since and in_touch:
                late.append(attempt)
                self.note(f"late retry: {attempt} from {self.by_attempt[attempt]}, {at - self.began:.2f} s")
        self.note(f"late retries that reached runners: {len(late)}; allowed: {RETRIES}")
        return 1 if len(late) > RETRIES else 0

    def end(self):
        for router in self.routers:
            router.end()


def main():
    with open(pathlib.Path(__file__).with_name("record.txt"), "w", encoding="utf-8") as record:
        case = Case(record)
        try:
            if not all(router.wait_ready() for router in case.routers):
                case.note("a router was not ready")
                return 2
            begin = time.monotonic()
            asyncio.run(case.play())
            return case.judge(begin + KILL_AT_SECONDS)
        finally:
            case.end()


if __name__ == "__main__":
    sys.exit(main())
