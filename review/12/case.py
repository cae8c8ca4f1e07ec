"""A key is taken away, the store comes back from an older copy, and the routers restart one after the other."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from stand_ins import KEY, Platform, Router, configuration, exchange, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLACES = (("127.0.0.1", "fes-a"), ("127.0.0.2", "meknes-b"), ("127.0.0.3", "tanger-c"))
REVOKED_KEY = "k7b2ex5wa5xwyhks8nbk"
REVOKE_SECONDS = 5.0
# Between the acknowledgement of the configuration that takes the key away and the loss of the store.
STABLE_SECONDS = 5.0
STORE_AWAY_SECONDS = 1.0
# Between the restarts of one router and the next, and until a killed process is started again.
KILL_GAP_SECONDS = 1.0
RESTART_DELAY_SECONDS = 0.5
# After the return of the store the operator writes its configuration again.
REWRITE_SECONDS = 5.0
PROBE_SECONDS = 0.1


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
        router.process.kill()
        router.process.wait()
        self.note(f"{router.ip} killed")
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        router.start()
        self.note(f"{router.ip} started again")

    async def play(self):
        probes = [asyncio.ensure_future(self.probe(router)) for router in self.routers]
        await asyncio.sleep(3.0)
        copy = self.platform.at_store(lambda store: store.copy())
        await asyncio.sleep(0.5)
        revoking = configuration(5, [KEY])
        acknowledged = self.platform.configure(revoking)
        self.note("configuration 5, without the key, is acknowledged")
        await asyncio.sleep(STABLE_SECONDS)
        if TROUBLE:
            self.platform.at_store(lambda store: store.go_away())
            self.note("the store is away")
            await asyncio.sleep(STORE_AWAY_SECONDS)
            self.platform.at_store(lambda store: store.come_back(copy))
            self.note(f"the store is back from a copy {STABLE_SECONDS + STORE_AWAY_SECONDS + 0.5:.1f} s old")
            back = time.monotonic()
            for router in self.routers:
                await asyncio.sleep(KILL_GAP_SECONDS - RESTART_DELAY_SECONDS)
                await self.restart(router)
            await asyncio.sleep(max(back + REWRITE_SECONDS - time.monotonic(), 0.0))
            self.platform.configure(revoking)
            self.note("the operator has written configuration 5 again")
        else:
            await asyncio.sleep(STORE_AWAY_SECONDS + REWRITE_SECONDS)
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
