"""Ordinary look-ups at each router, and the platform's questions for its readiness, beside a disruption."""

import asyncio
import time

from stand_ins import exchange, request

# The route's `timeout-ms`, and half a second later.
TIMEOUT_SECONDS = 1.5
LATE_SECONDS = 2.0
DEADLINE_MS = 3000
PERIOD_SECONDS = 0.2
# Rule CONFIG: of the requests that last longer than the timeout, eight or more and over a quarter.
LEAST_LATE = 8
LATE_PART = 0.25


def count_by_status(results):
    """Counts by status; "ended" stands for a channel that was refused or closed, "open" for no answer in time."""
    statuses = {}
    for _, seconds, status in results:
        name = status or ("open" if seconds > LATE_SECONDS else "ended")
        statuses[name] = statuses.get(name, 0) + 1
    return statuses


class Ordinary:
    def __init__(self, routers, note):
        self.routers, self.note = routers, note
        self.running = True
        # When each request was sent, the seconds to its end, and the status of its whole answer, or None.
        self.results = {router.ip: [] for router in routers}
        self.asked = {router.ip: 0 for router in routers}
        self.unanswered = {router.ip: 0 for router in routers}
        self.tasks = []

    @staticmethod
    async def send(router, data, seconds, results):
        sent = time.monotonic()
        status, headers, _, whole = await exchange((router.ip, router.callers), data, seconds)
        results.append((sent, time.monotonic() - sent, status if whole else None))
        return headers

    async def call(self, router):
        number, tasks = 0, []
        while self.running:
            number += 1
            data = request("GET", "/cufi504/2f", f"look-{router.ip}-{number}", deadline_ms=DEADLINE_MS)
            tasks.append(asyncio.ensure_future(self.send(router, data, DEADLINE_MS / 1e3, self.results[router.ip])))
            await asyncio.sleep(PERIOD_SECONDS)
        await asyncio.gather(*tasks)

    async def ask_readiness(self, router):
        """Asks once a second whether the router is ready, and waits a second for the answer."""
        question = b"GET /pomelospar/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
        while self.running:
            began = time.monotonic()
            status = (await exchange((router.ip, router.ready), question, 1.0))[0]
            self.asked[router.ip] += 1
            self.unanswered[router.ip] += status is None
            await asyncio.sleep(max(began + 1.0 - time.monotonic(), 0.0))

    def begin(self):
        for router in self.routers:
            self.tasks += [asyncio.ensure_future(self.call(router)), asyncio.ensure_future(self.ask_readiness(router))]

    async def end(self):
        self.running = False
        await asyncio.gather(*self.tasks)

    def is_rule_broken(self):
        all_open, all_late = 0, 0
        for ip, results in self.results.items():
            open_at_timeout = [r for r in results if r[1] > TIMEOUT_SECONDS]
            late = [r for r in results if r[1] > LATE_SECONDS]
            self.note(f"{ip}: {len(results)} ordinary requests, by status: {count_by_status(results)}; "
                      f"unanswered after {TIMEOUT_SECONDS} s: {len(open_at_timeout)}, after {LATE_SECONDS} s: {len(late)}")
            self.note(f"{ip}: {self.unanswered[ip]} of {self.asked[ip]} questions for its readiness got no answer in 1 s")
            all_open += len(open_at_timeout)
            all_late += len(late)
        self.note(f"of {all_open} ordinary requests that lasted longer than {TIMEOUT_SECONDS} s, {all_late} had no answer "
                  f"after {LATE_SECONDS} s")
        return all_late >= LEAST_LATE and all_late > LATE_PART * all_open
