"""A key is taken away and the store comes back from an older copy while the routers are restarted in turn."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from stand_ins import KEY, Platform, Router, configuration, exchange, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLACES = (("127.0.0.1", "fes-a"), ("127.0.0.2", "fes-a"), ("127.0.0.3", "fes-a"), ("127.0.0.4", "meknes-b"),
          ("127.0.0.5", "meknes-b"), ("127.0.0.6", "tanger-c"), ("127.0.0.7", "tanger-c"))
REVOKED_KEY = "k7b2ex5wa5xwyhks8nbk"
REVOKE_SECONDS = 5.0
# Between the acknowledgement of the configuration that takes the key away and the loss of the store.
STABLE_SECONDS = 5.0
STORE_AWAY_SECONDS = 1.0
# SIGTERM to one router after the other, and until a process that has ended is started again.
STOP_GAP_SECONDS = 1.0
RESTART_DELAY_SECONDS = 0.3
# These routers are restarted; the two others run all the time.
RESTARTED = 5
# From the first SIGTERM to the loss of the store.
EARLIER_SECONDS = 1.7
# After the return of the store the operator writes its configuration again.
REWRITE_SECONDS = 5.0
PROBE_SECONDS = 0.05


class Case:
    def __init__(self, record):
        self.record = record
        self.platform = Platform(engines=2, desks=3)
        self.routers = [Router(self.platform, ip, zone) for ip, zone in PLACES]
        self.began = time.monotonic()
        # When each request with the key that is taken away was sent, and its status.
        self.sent = {}
        self.statuses = {}
        self.probing = True

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:7.2f} s  {text}\n")
        self.record.flush()

    async def probe(self, router):
        """Sends bookings with the key to one router. Notes each change of the answer."""
        number, last = 0, ""
        while self.probing:
            number += 1
            attempt = f"{router.ip}-{number}"
            data = request("POST", "/puxa403/2f", attempt, key=REVOKED_KEY)
            self.sent[attempt] = time.monotonic()
            status, _, body, _ = await exchange((router.ip, router.callers), data, 2.0)
            self.statuses[attempt] = status
            answer = f"{status} {body[:60].decode('latin-1') if status != 200 else ''}"
            if answer != last:
                self.note(f"{router.ip} answers requests with the key: {answer}")
                last = answer
            await asyncio.sleep(PROBE_SECONDS)

    async def restart(self, router):
        router.process.terminate()
        self.note(f"{router.ip} gets SIGTERM")
        while router.process.poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        router.start()
        self.note(f"{router.ip} starts again")

    async def restart_in_turn(self):
        restarts = []
        for router in self.routers[:RESTARTED]:
            restarts.append(asyncio.ensure_future(self.restart(router)))
            await asyncio.sleep(STOP_GAP_SECONDS)
        await asyncio.gather(*restarts)

    async def play(self):
        probes = [asyncio.ensure_future(self.probe(router)) for router in self.routers]
        await asyncio.sleep(3.0)
        copy = self.platform.at_store(lambda store: store.copy())
        await asyncio.sleep(0.5)
        revoking = configuration(5, [KEY])
        acknowledged = self.platform.configure(revoking)
        self.note("configuration 5, without the key, is acknowledged")
        if TROUBLE:
            await asyncio.sleep(STABLE_SECONDS - EARLIER_SECONDS)
            restarts = asyncio.ensure_future(self.restart_in_turn())
            await asyncio.sleep(EARLIER_SECONDS)
            self.platform.at_store(lambda store: store.go_away())
            self.note("the store is away")
            await asyncio.sleep(STORE_AWAY_SECONDS)
            self.platform.at_store(lambda store: store.come_back(copy))
            self.note(f"the store is back from a copy {STABLE_SECONDS + STORE_AWAY_SECONDS + 0.5:.1f} s old")
            await asyncio.sleep(REWRITE_SECONDS)
            self.platform.configure(revoking)
            self.note("the operator has written configuration 5 again")
            await restarts
        else:
            await asyncio.sleep(STABLE_SECONDS + STORE_AWAY_SECONDS + REWRITE_SECONDS)
        await asyncio.sleep(3.0)
        self.probing = False
        await asyncio.gather(*probes)
        return acknowledged

    def judge(self, acknowledged):
        ran = {identifier for runner in self.platform.runners for identifier, *_ in runner.runs}
        served_before = sum(a in ran for a, sent in self.sent.items() if sent < acknowledged)
        late = sorted((sent, a) for a, sent in self.sent.items()
                      if a in ran and sent > acknowledged + REVOKE_SECONDS)
        self.note(f"requests with the key: {len(self.sent)} sent, {served_before} run before the acknowledgement")
        for sent, attempt in late:
            self.note(f"RUN: {attempt}, sent {sent - acknowledged:.2f} s after the acknowledgement, "
                      f"status {self.statuses.get(attempt)}")
        self.note(f"requests sent later than {REVOKE_SECONDS} s after the acknowledgement that ran: {len(late)}")
        if served_before == 0:
            return 2
        return 1 if late else 0

    def end(self):
        self.probing = False
        for router in self.routers:
            router.end()


def main():
    with open(pathlib.Path(__file__).with_name("record.txt"), "w", encoding="utf-8") as record:
        case = Case(record)
        try:
            case.platform.configure(configuration(4, [KEY, REVOKED_KEY]))
            if not all(router.wait_ready() for router in case.routers):
                case.note("a router was not ready")
                return 2
            return case.judge(asyncio.run(case.play()))
        finally:
            case.end()


if __name__ == "__main__":
    sys.exit(main())
