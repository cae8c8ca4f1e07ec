"""Several routers while runners crash: under one part of prompts, and for reasons of their own."""

import os
import random
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashing_fleet import (  # noqa: E402
    CONTAINMENT_SECONDS, CRASHING_PART, DISCOVERY_SECONDS, MOMENT_SECONDS, REQUESTS_AFTER_CONTAINMENT, SEED,
    CrashingFleetTestCase)
from platform_router import until  # noqa: E402
from table_platform import part_identifiers  # noqa: E402

# The users' limits: requests with the part are contained CONTAINMENT_SECONDS after the fifth crash; sound
# requests are served again at twice that time.
CRASHES = 5
SERVED_SHARE = 0.5
# Times in seconds without a crash, and with requests that crash runners.
CALM_SECONDS = 2.0
TROUBLE_SECONDS = 16.0
# A look-up that crashes runners comes again this often, after a pause in seconds in which all runners start
# again.
LOOK_UPS = 4
LOOK_UP_PAUSE_SECONDS = 4.0
# Time in seconds after which crashed runners serve again.
CRASH_RECOVERY_SECONDS = 3.0


class CrashingPartsTest(CrashingFleetTestCase):
    def call_repeatedly(self, prompt, pause, seed, path="/s/1", method="POST", equal_bodies=False):
        """Sends requests, each with a prompt of its own, to routers drawn at random."""
        draws = random.Random(seed)
        while not self.stopping.is_set():
            attempt = f"attempt-{next(self.numbers)}"
            headers = {"X-Prompt-Prefix": prompt(draws), "X-Deadline-Ms": "2000"}
            sent = b"equal" if equal_bodies else attempt.encode()
            at = time.monotonic()
            try:
                status, _, body = draws.choice(self.routers).send(
                    attempt, path, method, headers=headers, timeout=4, body=sent
                )
            except OSError:
                status, body = 0, None
            served = status == 200 and body is not None
            is_sound = CRASHING_PART not in headers["X-Prompt-Prefix"]
            self.results.append((at, is_sound, served))
            time.sleep(draws.uniform(0.5, 1.5) * pause)

    def served_share(self, start, end):
        sent = [served for at, is_sound, served in self.results if is_sound and start <= at < end]
        self.assertGreaterEqual(len(sent), 20)
        return sum(sent) / len(sent)

    def check_containment(self, equal_bodies):
        self.start_fleet("engines", 8, crashing_part=CRASHING_PART, execution_seconds=0.05)

        def start_callers(count, pause, seed, shared_part):
            for index in range(count):
                prompt = lambda draws: f"a1:500,{shared_part(draws)},{draws.getrandbits(48):x}:300"  # noqa: E731
                self.run_in_background(
                    self.call_repeatedly, prompt, pause, seed + index, "/s/1", "POST", equal_bodies
                )

        start = time.monotonic()
        start_callers(10, 0.1, 0, lambda draws: f"{256 + draws.randrange(40):x}:200")
        time.sleep(CALM_SECONDS)
        calm = time.monotonic()
        start_callers(5, 0.2, 100, lambda draws: f"{CRASHING_PART}:40")
        time.sleep(TROUBLE_SECONDS)
        end = time.monotonic()
        self.stop()
        crashes = sorted(r.crashed_at for r in self.all_runners() if r.crashed_at is not None)
        self.assertGreaterEqual(len(crashes), 3)
        fifth = crashes[min(CRASHES, len(crashes)) - 1]
        late = [
            request
            for runner in self.all_runners()
            for request in runner.requests
            if CRASHING_PART in part_identifiers(request["headers"])
            and request["at"] > fifth + CONTAINMENT_SECONDS
        ]
        print(f"{len(crashes)} runners ended; {len(late)} requests with the part reached runners late")
        calm_share = self.served_share(start, calm)
        share = self.served_share(fifth + 2 * CONTAINMENT_SECONDS, end)
        print(f"served: {calm_share:.3f} without crashes, {share:.3f} after the part was contained")
        self.assertLessEqual(len(late), REQUESTS_AFTER_CONTAINMENT)
        self.assertGreaterEqual(share, SERVED_SHARE * calm_share)

    # Guards against requests that share only one part of their prompts and crash one runner after the
    # other, whichever router they enter by.
    def test_contains_a_part_that_crashes_runners(self):
        self.check_containment(equal_bodies=False)

    # Guards against refusing sound requests that differ from crashing ones in their prompts only.
    def test_serves_requests_whose_path_and_body_equal_those_of_crashing_ones(self):
        self.check_containment(equal_bodies=True)

    # Guards against a fleet that forgets which part crashes runners when all of its routers are restarted in
    # turn, and against a trial at each router when one is due.
    def test_containment_outlives_a_restart_of_each_router(self):
        self.start_fleet("engines", 8, crashing_part=CRASHING_PART, execution_seconds=0.05)
        for router in self.routers:
            self.send_crashing(router)
            time.sleep(MOMENT_SECONDS)
        before = self.count_crashing_requests()
        self.assertGreaterEqual(before, 3)
        for router in self.routers:
            router.process.terminate()
            router.process.wait(10)
            router.start()
            self.assertTrue(until(router.is_ready, 5))
            time.sleep(DISCOVERY_SECONDS)
        # A trial is due 5 s after the latest crash.
        time.sleep(5)
        for _ in range(2):
            threads = [threading.Thread(target=self.send_crashing, args=[router]) for router in self.routers]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(MOMENT_SECONDS)
        self.assertLessEqual(self.count_crashing_requests() - before, 1)

    # Guards against one look-up that takes all runners down each time it comes: the router retries it and its
    # caller repeats it elsewhere before anybody has counted the crash.
    def test_contains_a_look_up_that_is_retried_at_once(self):
        self.start_fleet("desk", 3, crashing_part=CRASHING_PART, execution_seconds=0.01)
        # The last part of a prompt is no suspect by itself, so the request as a whole is.
        headers = {"X-Prompt-Prefix": f"{CRASHING_PART}:40"}
        for coming in range(LOOK_UPS):
            for repeat in range(2):
                router = self.routers[(coming + repeat) % len(self.routers)]
                router.send(f"attempt-{next(self.numbers)}", "/l/1", "GET", headers=headers, timeout=4)
            time.sleep(LOOK_UP_PAUSE_SECONDS)
        self.stop()
        crashes = sorted(r.crashed_at for r in self.all_runners() if r.crashed_at is not None)
        self.assertGreaterEqual(len(crashes), 3)
        late = [
            request
            for runner in self.all_runners()
            for request in runner.requests
            if request["at"] > crashes[2] + CONTAINMENT_SECONDS
        ]
        print(f"{len(crashes)} runners ended; {len(late)} look-ups reached runners late")
        self.assertLessEqual(len(late), REQUESTS_AFTER_CONTAINMENT)

    # Guards against refusing equal requests because they were in progress on runners that crashed for
    # reasons of their own.
    def test_serves_equal_requests_beside_ordinary_crashes(self):
        self.start_fleet("desk", 6, execution_seconds=0.1)
        start = time.monotonic()
        for seed in range(12):
            self.run_in_background(
                self.call_repeatedly, lambda draws: f"{draws.getrandbits(48):x}:300", 0.01, seed, "/l/1", "GET"
            )
        time.sleep(CALM_SECONDS)
        calm = time.monotonic()
        draws = random.Random(SEED)
        for _ in range(6):
            running = [runner for runner in self.runners if runner.crashed_at is None]
            self.platform.end_runner(draws.choice(running))
            time.sleep(0.2)
        time.sleep(CRASH_RECOVERY_SECONDS)
        recovered = time.monotonic()
        time.sleep(4)
        end = time.monotonic()
        self.stop()
        calm_share = self.served_share(start, calm)
        share = self.served_share(recovered, end)
        print(f"served: {calm_share:.3f} before six crashes, {share:.3f} after them")
        self.assertGreaterEqual(share, calm_share - 0.05)


if __name__ == "__main__":
    unittest.main()
