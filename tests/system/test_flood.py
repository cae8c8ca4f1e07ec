"""One workspace floods the fleet with ten times the fleet's capacity, in the least and most urgent class."""

import json
import pathlib
import re
import subprocess
import unittest

import fleet as f

SLOTS = 4
TOKENS = 20
TOKEN_MS = 5
FIRST_TOKEN_MS = 20
# Capacity of all 6 runners in requests per second, at 120 ms for each request.
CAPACITY = 6 * SLOTS * 1000 / (FIRST_TOKEN_MS + TOKENS * TOKEN_MS)
SECONDS = 6
# Share of the other workspaces' requests that must be answered (docs/design.md).
MINIMUM_ANSWERED_SHARE = 0.95
# Limit for the private memory of a router process.
MEMORY_LIMIT_MB = 32


def start_load(routers, workspaces, request_class, rate, seconds, seed):
    flags = [
        "--json", "--model=model", "--kinds=chat", f"--max_tokens=fixed:{TOKENS}", "--drain=3",
        "--targets=" + ",".join(router.caller for router in routers),
        "--workspaces=" + ",".join(f"{name}:{f.api_key(name)}" for name in workspaces),
        f"--classes={request_class}", f"--rate={rate}", f"--duration={seconds}", f"--seed={seed}",
        "--max_in_flight=20000",
    ]
    return subprocess.Popen([f.BINARIES / "pomelospar_load", *flags], stdout=subprocess.PIPE)


def result_of(child):
    output, _ = child.communicate(timeout=60)
    return json.loads(output)["groups"]


def private_mb(router):
    text = pathlib.Path(f"/proc/{router.process.pid}/smaps_rollup").read_text(encoding="ascii")
    return sum(int(value) for value in re.findall(r"Private_\w+:\s+(\d+)", text)) / 1024


class FloodTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        runners = []
        for domain in "abc":
            runners += self.fleet.start_runners(
                "engine_stand_in", f"engine-{domain}", [domain], SLOTS, f"--slots={SLOTS}",
                f"--first_token_ms={FIRST_TOKEN_MS}", f"--token_ms={TOKEN_MS}",
                "--slowdown_per_running=0", ports=2)
        self.routers = self.fleet.start_routers("abc")
        self.fleet.apply_and_wait(f.fleet_document(
            {"quiet-1": {}, "quiet-2": {}, "quiet-3": {}, "loud": {"maximum_queued_requests": 200}},
            [f.engine_upstream(runners)], f.STANDARD_ROUTES[:1]))

    def check(self, quiet_class, loud_class):
        quiet = ["quiet-1", "quiet-2", "quiet-3"]
        flood = start_load(self.routers, ["loud"], loud_class, 10 * CAPACITY, SECONDS + 1, 2)
        work = start_load(self.routers, quiet, quiet_class, 0.3 * CAPACITY, SECONDS, 1)
        groups, loud = result_of(work), result_of(flood)
        memory = max(private_mb(router) for router in self.routers)
        refused = sum(group["refused"] + group["not_run"] for group in loud)
        print(f"quiet {[(g['sent'], g['answered']) for g in groups]}, refused {refused}, "
              f"memory {memory:.1f} MB", flush=True)
        for group in groups + loud:
            self.assertEqual(group["wrong"], 0)
        for group in groups:
            self.assertGreater(group["sent"], 20)
            self.assertGreaterEqual(group["answered"], MINIMUM_ANSWERED_SHARE * group["sent"])
        # Overload is refused at once, not queued without limit.
        self.assertGreater(refused, 0)
        self.assertLess(memory, MEMORY_LIMIT_MB)

    # Guards against other requests that wait behind a flood of the least urgent class.
    def test_flood_of_the_least_urgent_class(self):
        self.check("interactive", "batch")

    # Guards against strict priority: a flood of the most urgent class must not starve the others.
    def test_flood_of_the_most_urgent_class(self):
        self.check("batch", "interactive")

    # Guards against a 429 response without a Retry-After header.
    def test_refusal_says_when_to_come_back(self):
        flood = start_load(self.routers[:1], ["loud"], "batch", 20 * CAPACITY, 3, 2)
        body = f.chat_body("x", TOKENS)

        def refused():
            status, headers, _ = self.routers[0].post("/v1/chat/completions", body, "loud",
                                                      {"Pomelospar-Class": "batch"})
            return (status, headers) if status == 429 else None

        status, headers = f.wait_until(refused, 4, "a refusal")
        self.assertEqual((status, headers["pomelospar-outcome"]), (429, "not_run"))
        self.assertGreaterEqual(int(headers["retry-after"]), 1)
        result_of(flood)


if __name__ == "__main__":
    unittest.main(verbosity=2)
