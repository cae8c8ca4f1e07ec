"""The operator evacuates a zone after the store has come back from an older copy. Checks that the zone's runners get
no more requests."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import stand_ins  # noqa: E402
from stand_ins import BROKEN, HELD  # noqa: E402

ZONES = ("fes-a", "meknes-b")
RUNNERS_PER_ZONE, SLOTS, WORK_SECONDS = 6, 6, 0.06
CALLERS = 12
EVACUATED = ZONES[1]
# Bounds of the deployments that have evacuations. The system is given the longest stretch for an unstable core, also
# where the pages grant none.
EVACUATE_SECONDS, MAX_STRETCH_SECONDS = 5.0, 6.0
COPY_AT, AWAY_AT, BACK_AT, EVACUATE_AT, END_AT = 3.0, 7.5, 8.0, 9.5, 26.0


async def main(record, at_end):
    store = stand_ins.Store(record)
    await store.start()
    config = stand_ins.configuration(
        [("/joker/", "non_idempotent", "pub-app", {"timeout-ms": 3000, "goal-ms": 300})],
        [{"name": "pub-app", "health-path": "/healthz", "max-conns": 510}])
    store.put("op", "config", config)
    runners = [
        stand_ins.Runner(record, store, f"i-{zone}-{n}", "pub-app", SLOTS, WORK_SECONDS, zone=zone)
        for zone in ZONES for n in range(RUNNERS_PER_ZONE)]
    for runner in runners:
        await runner.start()
    bounds = "evacuate-ms = 5000\ncold-overshoot = 1.5\ncold-slack = 5"
    router = stand_ins.Router(record, store, more_bounds=bounds)
    at_end.append(router.end)
    router.start()
    await router.until_ready()

    stopping = asyncio.Event()
    results = []

    async def call(number):
        caller = stand_ins.Caller(record, router, f"joker{number}")
        while not stopping.is_set():
            results.append(await caller.send("/joker/1", 3000))
            await asyncio.sleep(0.1)

    start = record.now()

    async def until(seconds):
        await asyncio.sleep(max(start + seconds - record.now(), 0))

    callers = [asyncio.create_task(call(number)) for number in range(CALLERS)]
    await until(COPY_AT)
    copy = store.copy()
    if stand_ins.with_trouble():
        await until(AWAY_AT)
        record.write("store_away", version=store.version)
        store.leave()
        await until(BACK_AT)
        store.return_from(copy)
        record.write("store_back", era=store.era, version=store.version, copy_age=BACK_AT - COPY_AT)
        # What the operator and the runners wrote is written again.
        store.put("op", "config", config)
        for runner in runners:
            runner.write_entry()
    await until(EVACUATE_AT)
    store.put("op", f"evacuate/{EVACUATED}", b"{}")
    acknowledged = record.now()
    record.write("evacuation_acknowledged", zone=EVACUATED, version=store.version)
    await until(END_AT)
    stopping.set()
    await asyncio.gather(*callers)

    bound = acknowledged + EVACUATE_SECONDS + MAX_STRETCH_SECONDS
    late = [
        (attempt, entry["at"]) for runner in runners if runner.zone == EVACUATED
        for attempt, entry in runner.reached.items() if entry["at"] > bound]
    outcomes = {}
    for result in results:
        outcomes[result["outcome"]] = outcomes.get(result["outcome"], 0) + 1
    record.summary(f"answers: {outcomes}")
    record.summary(
        f"EVAC: {len(late)} requests reached runners of {EVACUATED} later than {bound:.3f} s, that is"
        f" {EVACUATE_SECONDS + MAX_STRETCH_SECONDS:.0f} s after the acknowledgement; allowed: 0")
    return BROKEN if late else HELD


stand_ins.run_case(main, FOLDER)
