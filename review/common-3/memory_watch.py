"""Does what the platform does with a router that exceeds the memory of its machine: ends it and starts it again."""

import threading
import time

from stand_ins import MEMORY_MB

# A process that was killed is started again after a short delay.
RESTART_DELAY = 1.0
SAMPLE_PERIOD = 0.1


class MemoryWatch(threading.Thread):
    """Samples the resident memory of the routers. A router beyond `memory-mb` is killed and started again."""

    def __init__(self, routers, record):
        super().__init__(daemon=True)
        self.routers, self.record = routers, record
        self.ends = {router.ip: 0 for router in routers}
        self.largest = {router.ip: 0 for router in routers}
        self.running = True
        self.began = time.monotonic()
        self.down = {}

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:7.2f} s  {text}\n")
        self.record.flush()

    def run(self):
        last_note = 0.0
        while self.running:
            now = time.monotonic()
            for router in self.routers:
                self.watch(router, now)
            if now - last_note >= 2.0:
                last_note = now
                self.note("resident memory, MB: " + ", ".join(
                    f"{router.ip} {router.memory() / 1e6:.0f}" for router in self.routers))
            time.sleep(SAMPLE_PERIOD)

    def watch(self, router, now):
        if router.ip in self.down:
            if now - self.down[router.ip] >= RESTART_DELAY:
                router.start()
                del self.down[router.ip]
                self.note(f"{router.ip} started again")
            return
        memory = router.memory()
        self.largest[router.ip] = max(self.largest[router.ip], memory)
        ended = router.process.poll() is not None
        if not ended and memory <= MEMORY_MB * 1e6:
            return
        self.ends[router.ip] += 1
        if ended:
            self.note(f"{router.ip} ended by itself with {router.process.returncode}")
        else:
            self.note(f"{router.ip} has {memory / 1e6:.0f} MB of {MEMORY_MB} MB and is killed")
            router.process.kill()
        router.process.wait()
        self.down[router.ip] = now

    def stop(self):
        self.running = False
        self.join()

    def is_rule_broken(self, machines, times):
        """True if processes of so many machines have ended so often."""
        return sum(ends >= times for ends in self.ends.values()) >= machines
