"""A key is taken away right after the store has come back from an older copy."""

import asyncio
import copy
import os
import time

from platform_stand_in import Caller, main
from sites import AFM_POMELO, KEY, LOST_KEY

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
AWAY_S = 0.3
COPY_AGE_S = 2.0
REVOKE_S = AFM_POMELO["bounds"]["revoke-ms"] / 1e3
WATCHED_S = 30.0


async def traffic(deployment, router, key, stop, sent):
    caller = Caller(deployment.record, router, key)
    number = 0
    while not stop.is_set():
        number += 1
        at = time.monotonic()
        attempt, _, _ = await caller.send(f"/keyed/{number}", body=b"towels")
        sent[attempt] = at
        await asyncio.sleep(0.1)
    caller.close()


async def case(deployment):
    zones = AFM_POMELO["zones"]
    runners = [{"service": "desk", "zone": zone, "slots": 6, "work_s": 0.03} for zone in zones]
    await deployment.start(runners, zones)
    store, record = deployment.store, deployment.record
    stop = asyncio.Event()
    sent = {KEY: {}, LOST_KEY: {}}
    callers = [asyncio.ensure_future(traffic(deployment, router, key, stop, sent[key]))
               for router in deployment.routers for key in sent]
    await asyncio.sleep(8)
    if TROUBLE:
        record.add("store: away, calls get no answer")
        store.leave(is_silent=True)
        await asyncio.sleep(AWAY_S)
        store.come_back(COPY_AGE_S + AWAY_S)
        # The operator writes again what it wrote, and then the change that had to wait for the store.
        deployment.configure()
    deployment.site = copy.deepcopy(deployment.site)
    newest = deployment.site["config"]
    newest["version"] += 2
    newest["tenants"][0]["api-keys"].remove(LOST_KEY)
    deployment.configure()
    acknowledged = time.monotonic()
    record.add(f"operator: takes {LOST_KEY} away, acknowledged at version {store.version}")
    if TROUBLE:
        # The runners write their entries again too.
        for runner in deployment.runners:
            runner.beat()
    await asyncio.sleep(REVOKE_S + WATCHED_S)
    stop.set()
    await asyncio.gather(*callers)
    ran = {run[1]: run[0] for runner in deployment.runners for run in runner.runs}
    sound = [a for a, at in sent[KEY].items() if a in ran and at > acknowledged + REVOKE_S]
    late = [ran[a] - acknowledged for a, at in sent[LOST_KEY].items()
            if a in ran and at > acknowledged + REVOKE_S]
    print(f"after the bound ran {len(sound)} requests with the key that stays, {len(late)} with the other")
    if not sound:
        raise RuntimeError("no request with the sound key ran")
    if not late:
        return []
    return [f"CONFIG: {len(late)} requests with a key that was taken away were sent and ran from "
            f"{min(late):.1f} s to {max(late):.1f} s after that was acknowledged"]


main(AFM_POMELO, os.path.dirname(os.path.abspath(__file__)), case)
