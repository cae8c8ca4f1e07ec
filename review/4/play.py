"""All routers are restarted in turn, and with that the fleet forgets which request crashes runners."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402
from kit import TROUBLE  # noqa: E402

POISON = "/chat/666"
PAUSE_S = 5.8
# `roll_term` of the site: one machine at a time, 1.3 s between.
GAP_S = 1.3
QUIET_S = 12.0
CONTACT_S = 3.0
# Bound of the rule BUDGET.
ALLOWED_RETRIES = 3
HEADERS = {"X-Model": "m", "X-Token-Usage": "826,60", "X-Prompt-Prefix": "a1:119,b2:79,666:628"}


async def play(world):
    await world.start(3)
    pool = await world.add_runners("pool", 9, slots=128, work_s=0.2)
    for runner in pool:
        runner.crashes_on = lambda line, headers: POISON in line
    engine = {"slots": 128, "kv-capacity": 953186, "stride": 5}
    world.configure(3, [
        {"name": "chat", "prefix": "/chat/", "route-kind": "streaming", "timeout-ms": 12000, "goal-ms": 600,
         "service": "pool", "max-attempts": 1, "resumable": False, "sticky": True, "gap-aim-ms": 250}],
        [{"name": "pool", "max-conns": 620, "engine": engine}])
    if not await world.start_routers():
        raise RuntimeError("the routers did not become ready")
    await asyncio.sleep(3.5)
    sound = [asyncio.ensure_future(world.send_sound_work(number, "/chat/sound-")) for number in range(40)]
    sent = 0

    async def come_again():
        nonlocal sent
        router = world.routers[sent % len(world.routers)]
        sent += 1
        _, status, _, _ = await world.send(
            router, "poison", "POST", POISON, b"p" * 830, deadline_ms=12000, headers=HEADERS)
        await asyncio.sleep(PAUSE_S)
        return status

    for _ in range(3):
        await come_again()
    if TROUBLE:
        for router in world.routers:
            router.signal(signal.SIGTERM)
            if await router.exited(9) is None:
                raise RuntimeError("a router did not stop")
            router.start()
            await asyncio.sleep(GAP_S)
        if not await world.all_ready():
            raise RuntimeError("the routers did not become ready again")
    await asyncio.sleep(QUIET_S)
    for _ in range(5):
        await come_again()
    world.over = True
    await asyncio.gather(*sound)
    crashes = [at for at, attempt, _ in world.runs if attempt.startswith("poison")]
    if len(crashes) < 3:
        raise RuntimeError("fewer than three crashes")
    limit = crashes[2] + CONTACT_S
    late = sorted({attempt for at, attempt, _ in world.arrivals if attempt.startswith("poison") and at > limit})
    world.record.write("counts", crashes=len(crashes), third_crash=round(crashes[2], 3), late_retries=late,
                       sound_requests_cut=world.cut_beside())
    print(f"{len(crashes)} crashes, the third at {crashes[2]:.2f} s; retries that reached runners after "
          f"{limit:.2f} s: {len(late)}; sound requests cut while they ran: {len(world.cut_beside())}")
    if len(late) > ALLOWED_RETRIES:
        return f"the request reached runners in {len(late)} retries later than contact-ms after its third crash"
    return None


kit.main(pathlib.Path(__file__).parent, play)
