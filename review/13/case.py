"""A crowd of clients whose requests have heads of legal size with very many short fields and bodies that stop one byte short."""

import asyncio
import os
import pathlib
import resource
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from memory_watch import MemoryWatch  # noqa: E402
from stand_ins import Platform, Router, exchange, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLACES = (("127.0.0.1", "fes-a"), ("127.0.0.2", "meknes-b"))
CLIENTS = 800
MAX_HEADER_BYTES = 16384
# Rule Fault: on a tenth of the machines in use (two at least), three times.
MACHINES, TIMES = 2, 3


def unfinished_request(number):
    """A head of at most `max-header-bytes` and a body of ten bytes without its last one."""
    head = request("POST", "/puxa403/2f", f"c{number:07d}", deadline_ms=1500).split(b"Content-Length")[0]
    end = b"Content-Length: 10\r\n\r\n"
    room = MAX_HEADER_BYTES - len(head) - len(end) - 64
    field = b"a:\r\n" if TROUBLE else b"X-Note: " + b"n" * 2000 + b"\r\n"
    return head + field * (room // len(field)) + end + b"123456789"


class Crowd:
    def __init__(self, router):
        self.router = router
        self.writers = []

    async def join(self, number):
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(self.router.ip, self.router.callers), 1.0)
            self.writers.append(writer)
            writer.write(unfinished_request(number))
            await asyncio.wait_for(writer.drain(), 1.0)
        except (OSError, asyncio.TimeoutError):
            pass

    async def come(self):
        for start in range(0, CLIENTS, 20):
            await asyncio.gather(*(self.join(number) for number in range(start, start + 20)))
            await asyncio.sleep(0.05)

    def leave(self):
        for writer in self.writers:
            writer.close()
        self.writers = []


async def play_round(routers, watch, number):
    ends = dict(watch.ends)
    crowds = [Crowd(router) for router in routers]
    watch.note(f"round {number}: {CLIENTS} clients come to each router")
    await asyncio.gather(*(crowd.come() for crowd in crowds))
    await asyncio.sleep(2.0)
    for router in routers:
        watch.note(f"round {number}: {router.ip}: largest {watch.largest[router.ip] / 1e6:.0f} MB, "
                   f"ended {watch.ends[router.ip] - ends[router.ip]} time(s)")
    for crowd in crowds:
        crowd.leave()
    await asyncio.sleep(2.0)


async def ordinary(routers, watch, name):
    for router in routers:
        data = request("GET", "/cufi504/2f", f"ordinary-{name}-{router.ip}")
        status = (await exchange((router.ip, router.callers), data))[0]
        watch.note(f"ordinary request at {router.ip}: {status}")


async def play(routers, watch):
    await ordinary(routers, watch, "before")
    for number in range(1, TIMES + 1):
        await play_round(routers, watch, number)
        end = time.monotonic() + 12.0
        while time.monotonic() < end and not all(router.is_ready() for router in routers):
            await asyncio.sleep(0.1)
    await ordinary(routers, watch, "after")


def main():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192) if hard >= 0 else 8192, hard))
    if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < 4100:
        return 2
    with open(pathlib.Path(__file__).with_name("record.txt"), "w", encoding="utf-8") as record:
        platform = Platform()
        routers = [Router(platform, ip, zone) for ip, zone in PLACES]
        watch = MemoryWatch(routers, record)
        try:
            if not all(router.wait_ready() for router in routers):
                record.write("a router was not ready\n")
                return 2
            watch.start()
            watch.note(f"a request of the crowd has {len(unfinished_request(0))} bytes and "
                       f"{unfinished_request(0).count(bytes([13, 10])) - 2} fields")
            asyncio.run(play(routers, watch))
            watch.stop()
            watch.note(f"largest resident memory, MB: { {ip: round(m / 1e6) for ip, m in watch.largest.items()} }")
            watch.note(f"ends beyond the memory of the machine: {watch.ends}")
            return 1 if watch.is_rule_broken(MACHINES, TIMES) else 0
        finally:
            watch.running = False
            time.sleep(0.3)
            for router in routers:
                router.end()


if __name__ == "__main__":
    sys.exit(main())
