"""A request that crashes runners comes again after all routers were killed."""

import json
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import (  # noqa: E402
    CONTAINMENT_SECONDS, CRASHING_PART, MOMENT_SECONDS, REQUESTS_AFTER_CONTAINMENT, CrashingFleetTestCase)
from platform_router import until  # noqa: E402

CRASHES = 3
RESTART_DELAY_SECONDS = 0.3
# Time in seconds after the third crash, by which it is in the store.
RECORD_SECONDS = 1.5
# Time in seconds after the latest crash at which a trial is due.
TRIAL_SECONDS = 5.0
TABLE, ROW = "pomelospar-suspects", "fleet"


class CrashContainmentRestartsTest(CrashingFleetTestCase):
    def look_up(self, router):
        """Sends a look-up that is the same each time; returns its status, or 0."""
        headers = {"X-Prompt-Prefix": f"{CRASHING_PART}:40"}
        try:
            return router.send(f"attempt-{next(self.numbers)}", "/l/1", "GET", headers=headers, timeout=4)[0]
        except OSError:
            return 0

    def crash_times(self):
        return sorted(r.crashed_at for r in self.all_runners() if r.crashed_at is not None)

    def crash_runners(self, send):
        """Sends requests until they have crashed three runners."""
        for number in range(20):
            if len(self.crash_times()) >= CRASHES:
                break
            send(self.routers[number % 3])
            time.sleep(MOMENT_SECONDS)
        self.assertGreaterEqual(len(self.crash_times()), CRASHES)

    def kill_all(self):
        for router in self.routers:
            router.process.kill()
            router.process.wait()
        time.sleep(RESTART_DELAY_SECONDS)
        for router in self.routers:
            router.start()
        for router in self.routers:
            self.assertTrue(until(router.is_ready, 5))

    def stored_subjects(self):
        value = self.platform.store.rows.get((TABLE, ROW), (None, 0))[0]
        return [] if value is None else [entry["subject"] for entry in json.loads(value)["quarantines"]]

    def check_kills(self, send):
        """Kills all routers again and again while the request comes at each; counts how often it runs."""
        self.crash_runners(send)
        time.sleep(RECORD_SECONDS)
        third = self.crash_times()[CRASHES - 1]
        for _ in range(3):
            self.kill_all()
            end = time.monotonic() + TRIAL_SECONDS
            while time.monotonic() < end:
                for router in self.routers:
                    send(router)
                time.sleep(0.3)
        self.stop()
        late = [time for time in self.crash_times() if time > third + CONTAINMENT_SECONDS]
        print(f"{len(late)} runners crashed late")
        self.assertLessEqual(len(late), REQUESTS_AFTER_CONTAINMENT)
        self.assertLessEqual(len(self.crash_times()) - CRASHES, REQUESTS_AFTER_CONTAINMENT)

    # Guards against a look-up that crashes runners again because no router is left that knows of it.
    def test_a_look_up_stays_contained(self):
        self.start_fleet("desk", 3, crashing_part=CRASHING_PART, execution_seconds=0.01)
        self.check_kills(self.look_up)

    # Guards against the same with requests that have only one part of their prompts in common.
    def test_a_part_stays_contained(self):
        self.start_fleet("engines", 6, crashing_part=CRASHING_PART, execution_seconds=0.02)
        self.check_kills(self.send_crashing)

    # Guards against routers that serve before they know what crashed runners, because the store was away when they
    # started and the configuration is read first when it is back.
    def test_a_look_up_stays_contained_if_the_store_is_away_at_the_start(self):
        self.start_fleet("desk", 3, crashing_part=CRASHING_PART, execution_seconds=0.01)
        self.crash_runners(self.look_up)
        time.sleep(RECORD_SECONDS)
        before = len(self.crash_times())
        for mode in ("reset", 503):
            self.platform.store.mode = mode
            for router in self.routers:
                router.process.kill()
                router.process.wait()
                router.start()
            time.sleep(1)
            self.platform.store.mode = "ok"
            end = time.monotonic() + 3
            while time.monotonic() < end:
                for router in self.routers:
                    self.look_up(router)
                time.sleep(0.05)
        self.stop()
        self.assertLessEqual(len(self.crash_times()) - before, 1)

    # Guards against a request that is refused for long after it has become sound.
    def test_a_sound_request_is_served_after_a_kill(self):
        self.start_fleet("desk", 3, crashing_part=CRASHING_PART, execution_seconds=0.01)
        self.crash_runners(self.look_up)
        time.sleep(RECORD_SECONDS)
        latest = self.crash_times()[-1]
        self.kill_all()
        self.assertTrue(until(lambda: all(runner.crashed_at is None for runner in self.runners), 5))
        for runner in self.runners:
            runner.crashing_part = None
        served = until(lambda: self.look_up(self.routers[0]) == 200, latest + TRIAL_SECONDS + 3 - time.monotonic())
        self.assertTrue(served)
        # Soon all others serve it too, and the store no longer names it.
        self.assertTrue(until(lambda: [self.look_up(router) for router in self.routers] == [200] * 3, 3))
        self.assertTrue(until(lambda: self.stored_subjects() == [], 3))

    # Guards against a record that the store has lost on its return from an older copy.
    def test_the_record_is_written_again_after_a_return(self):
        self.start_fleet("desk", 3, crashing_part=CRASHING_PART, execution_seconds=0.01)
        store = self.platform.store

        async def copy():
            return store.copy()

        before = self.platform.call(copy())
        self.crash_runners(self.look_up)
        self.assertTrue(until(self.stored_subjects, RECORD_SECONDS))
        known = self.stored_subjects()

        async def come_back():
            store.return_from(before)

        self.platform.call(come_back())
        self.assertEqual(self.stored_subjects(), [])
        self.assertTrue(until(lambda: self.stored_subjects() == known, 4))


if __name__ == "__main__":
    unittest.main()
