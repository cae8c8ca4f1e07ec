"""A runner comes back at its address under a new id and gives one of its answers, a 421, twice."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402
from kit import TROUBLE, response  # noqa: E402

# The entry of a crashed runner is removed after three ping intervals ("heartbeat-ms" 1,200) of silence.
LAPSE_S = 3.6
BACK_AFTER_S = 1.5
# The largest dose of `garble` with `extra late` in the site file: x = 0.03 of the answers, for 5 s.
DOUBLED_SHARE = 0.03
# Runners of one service differ in speed.
WORK_S = (0.02, 0.03, 0.03)
CALM_S, LOAD_S = 5.0, 11.0


class DeskRunner(kit.Runner):
    """With TROUBLE on, some of its 421s come twice: the second one before the next answer on that channel.

    Each 421 has the request's X-Attempt-Id and the runner's own X-Instance-Id. It doubles at most DOUBLED_SHARE of
    the answers that it has given.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.owed = {}
        self.answers = self.doubled = self.running = 0

    async def answer(self, message, reader, writer):
        _, headers, _ = message
        self.answers += 1
        late = self.owed.pop(writer, None)
        if late is not None:
            self.world.record.write("second_answer", runner=self.identifier, status=421)
            writer.write(late)
        if headers.get("x-expect-instance", self.identifier) != self.identifier:
            attempt = headers["x-attempt-id"]
            self.world.record.write("misdirected", runner=self.identifier, attempt=attempt,
                                    expected=headers["x-expect-instance"])
            refusal = response(421, b"", [("X-Attempt-Id", attempt), ("X-Instance-Id", self.identifier)])
            writer.write(refusal)
            if TROUBLE and self.doubled + 1 <= DOUBLED_SHARE * self.answers:
                self.doubled += 1
                self.owed[writer] = refusal
            return True
        self.running += 1
        try:
            return await super().answer(message, reader, writer)
        finally:
            self.running -= 1

    async def return_later(self, identifier):
        await asyncio.sleep(self.back_after)
        await self.start()
        self.world.record.write("runner_back", runner=self.identifier)
        await asyncio.sleep(LAPSE_S - self.back_after)
        self.world.store.remove("servers", identifier)
        self.world.record.write("entry_lapsed", runner=identifier)


async def book(world, outcomes):
    """One booking after the other, each on a new channel."""
    while not world.over:
        outcomes.append(await world.send(world.routers[0], "book", "POST", "/book/1", b"b" * 600))
        await asyncio.sleep(0.01)


async def play(world):
    world.over = False
    await world.start(1, zones=("zone-a",))
    desk = await world.add_runners("desk", 3, kind=DeskRunner, zones=("zone-a",), slots=6)
    for runner, work_s in zip(desk, WORK_S):
        runner.work_s = work_s
    world.configure(3, [
        {"name": "book", "prefix": "/book/", "route-kind": "non_idempotent", "max-attempts": 2, "timeout-ms": 800,
         "priority": 2, "service": "desk"}],
        [{"name": "desk", "max-conns": 100}])
    if not await world.start_routers():
        raise RuntimeError("the router did not become ready")
    await asyncio.sleep(2.5)
    outcomes = []
    booker = asyncio.ensure_future(book(world, outcomes))
    await asyncio.sleep(CALM_S)
    # The runner is back at its address while the entry of its earlier run is still listed.
    desk[0].back_after = BACK_AFTER_S
    while desk[0].running:
        await asyncio.sleep(0.001)
    desk[0].crash()
    await asyncio.sleep(LOAD_S - CALM_S)
    world.over = True
    await booker
    await asyncio.sleep(0.5)
    ran = [attempt for _, attempt, _ in world.runs]
    refused = [a for a, status, _, _ in outcomes if status in (503, 429, 408, 421) and a in ran]
    twice = [a for a in set(ran) if ran.count(a) > 1]
    answers, doubled = desk[0].answers, desk[0].doubled
    world.record.write("counts", bookings=len(outcomes), answers=answers, doubled=doubled,
                       refused_but_run=refused, run_twice=twice)
    print(f"{len(outcomes)} bookings, {doubled} of {answers} answers of the runner doubled; refused though run: "
          f"{refused}; run twice: {twice}")
    if TROUBLE and not doubled:
        raise RuntimeError("no answer was doubled")
    if refused or twice:
        return f"bookings that were answered 503 and have run: {refused}; bookings that ran twice: {twice}"
    return None


kit.main(pathlib.Path(__file__).parent, play)
