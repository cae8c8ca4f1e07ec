"""One look-up crashes each runner that begins to run it, and comes again every few seconds at any machine."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402
from kit import TROUBLE  # noqa: E402

POISON = "/look/order-666"
ROUNDS, PAUSE_S = 5, 4.5
# "retries" of the site's class order-look: a requester repeats a failed look-up once, on a new channel.
RETRIES = 1
CONTACT_S = 3.0
# Bound of the rule BUDGET.
ALLOWED_RETRIES = 3


async def book(world, number):
    """Sound bookings of another tenant, one after the other, for the record only."""
    while not world.over:
        router = world.routers[number % len(world.routers)]
        await world.send(router, f"book{number}", "POST", "/book/1", b"b" * 600, tenant="tenant-b")
        await asyncio.sleep(0.02)


async def play(world):
    world.over = False
    await world.start(3)
    desk = await world.add_runners("desk", 3, slots=6, work_s=0.03)
    if TROUBLE:
        for runner in desk:
            runner.crashes_on = lambda line, headers: POISON in line
    common = {"timeout-ms": 800, "priority": 2, "service": "desk"}
    world.configure(3, [
        common | {"name": "look", "prefix": "/look/", "route-kind": "idempotent", "max-attempts": 2},
        common | {"name": "book", "prefix": "/book/", "route-kind": "non_idempotent", "max-attempts": 1}],
        [{"name": "desk", "max-conns": 100}])
    if not await world.start_routers():
        raise RuntimeError("the routers did not become ready")
    await asyncio.sleep(3.5)
    booking = [asyncio.ensure_future(book(world, number)) for number in range(6)]
    sent = 0
    for _ in range(ROUNDS):
        for _ in range(1 + RETRIES):
            router = world.routers[sent % len(world.routers)]
            sent += 1
            _, status, _, _ = await world.send(router, "poison", "GET", POISON)
            # Look-ups are repeated after any failure; 200 ends them.
            if status == 200:
                break
        await asyncio.sleep(PAUSE_S)
    world.over = True
    await asyncio.gather(*booking)
    crashes = [at for at, attempt, _ in world.runs if attempt.startswith("poison")] if TROUBLE else []
    if not TROUBLE:
        return None
    if len(crashes) < 3:
        raise RuntimeError("fewer than three crashes")
    limit = crashes[2] + CONTACT_S
    late = sorted({attempt for at, attempt, _ in world.arrivals if attempt.startswith("poison") and at > limit})
    late_arrivals = sum(1 for at, attempt, _ in world.arrivals if attempt.startswith("poison") and at > limit)
    cut = [attempt for _, attempt, _ in world.runs if attempt.startswith("book") and attempt not in world.ended]
    world.record.write("counts", bookings_cut=cut, crashes=len(crashes), third_crash=round(crashes[2], 3), late_retries=late,
                       late_arrivals=late_arrivals)
    print(f"{len(crashes)} crashes, the third at {crashes[2]:.2f} s; retries that reached runners after "
          f"{limit:.2f} s: {len(late)}, arrivals {late_arrivals}; bookings cut while they ran: {len(cut)}")
    if len(late) > ALLOWED_RETRIES:
        return f"the request reached runners in {len(late)} retries later than contact-ms after its third crash"
    return None


kit.main(pathlib.Path(__file__).parent, play)
