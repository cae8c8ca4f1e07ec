"""Runs the measures and writes one JSON object a line; docs/measurements.md explains them.

Every measure is taken `--runs` times; the value is the median and `spread` the lowest and highest.
Bounds come from the design, not from what was measured.
"""

import argparse
import json
import os
import pathlib
import re
import statistics
import subprocess
import sys
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(REPOSITORY / "tests" / "system"))

import fleet as f  # noqa: E402

# Slots of one runner, as in examples/. Times are a seventh of a real engine's (57 ms a token), so
# that ten times the capacity can be offered on one machine.
SLOTS = 8
TOKEN_MS = 8
FIRST_TOKEN_MS = 40
TICKS = os.sysconf("SC_CLK_TCK")

DEPLOYMENTS = {
    # Routers for each domain, domains of the 10 model runners, tokens of a request.
    "atlas": {"routers": "aabbccc", "runners": "aaaabbbccc", "tokens": "uniform:10:60"},
    "kalahari": {"routers": "aabbcc", "runners": "aaabbbbccc", "tokens": "exponential:40:5:120"},
}
# For all other measures a lower value is better.
HIGHER_IS_BETTER = {"utilisation", "flood_kept_low", "flood_kept_high",
                    "relay_events_per_core_second"}
WORKSPACES = [f"w{index:02}" for index in range(16)]


def meets(measure, value, bound):
    return value >= bound if measure in HIGHER_IS_BETTER else value <= bound


class Recorder:
    def __init__(self, path, runs):
        self.path, self.runs, self.lines = pathlib.Path(path), runs, []
        self.commit = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], cwd=REPOSITORY, capture_output=True, text=True,
            check=True).stdout.strip()

    def add(self, measure, setting, values, unit, bound=None, baseline_name=None, baseline=None,
            note=None):
        line = {
            "measure": measure,
            "setting": setting,
            "value": round(statistics.median(values), 4),
            "unit": unit,
            "bound": bound,
            "met": None if bound is None else meets(measure, statistics.median(values), bound),
            "baseline_name": baseline_name,
            "baseline_value": None if baseline is None else round(statistics.median(baseline), 4),
            "runs": len(values),
            "spread": [round(min(values), 4), round(max(values), 4)],
            "commit": self.commit,
        }
        if note:
            line["note"] = note
        self.lines.append(line)
        print(json.dumps(line), flush=True)

    def write(self):
        """Lines of a measure and setting that were taken anew replace the older ones."""
        taken = {(line["measure"], json.dumps(line["setting"])) for line in self.lines}
        kept = []
        if self.path.exists():
            for text in self.path.read_text().splitlines():
                line = json.loads(text)
                if (line["measure"], json.dumps(line["setting"])) not in taken:
                    kept.append(line)
        self.path.write_text("".join(json.dumps(line) + "\n" for line in kept + self.lines))


def run_load(targets, *flags, wait=True):
    """Starts pomelospar_load; returns its summary, or the child if it is not waited for."""
    child = subprocess.Popen(
        [f.BINARIES / "pomelospar_load", "--json", "--model=model", "--targets=" + ",".join(targets),
         *flags], stdout=subprocess.PIPE)
    return load_result(child) if wait else child


def load_result(child):
    output, _ = child.communicate(timeout=180)
    if child.returncode not in (0, 2):
        raise RuntimeError(f"pomelospar_load failed with {child.returncode}")
    return json.loads(output)


def workspaces_flag(names):
    return "--workspaces=" + ",".join(f"{name}:{f.api_key(name)}" for name in names)


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def private_mb(process):
    """Memory of the process alone: pages that it shares with other processes are left out."""
    rollup = pathlib.Path(f"/proc/{process.pid}/smaps_rollup").read_text()
    return sum(int(v) for v in re.findall(r"Private_\w+:\s+(\d+)", rollup)) / 1024


def metric(router, name):
    found = re.search(rf"^{name}(?:\{{[^}}]*\}})? (\S+)$", router.metrics(), re.M)
    return float(found.group(1)) if found else 0.0


def control_bytes(router):
    return metric(router, "pomelospar_control_sent_bytes") + metric(
        router, "pomelospar_control_received_bytes")


class Bench(f.Fleet):
    """A fleet of one of the two deployments."""

    def __init__(self, name, workspaces=None, routers=None, slots=SLOTS, runner_flags=()):
        super().__init__()
        self.deployment = DEPLOYMENTS[name]
        self.start_platform()
        self.runners = []
        for domain in "abc":
            count = self.deployment["runners"].count(domain)
            self.runners += self.start_runners(
                "engine_stand_in", f"engine-{domain}", [domain], slots, f"--slots={slots}",
                f"--first_token_ms={FIRST_TOKEN_MS}", f"--token_ms={TOKEN_MS}",
                "--slowdown_per_running=0", *runner_flags, ports=count)
        self.list = self.start_routers(routers or self.deployment["routers"])
        self.apply_and_wait(self.document(workspaces or WORKSPACES), timeout=60)

    def document(self, workspaces, share=1.0):
        return f.fleet_document(
            {name: {"share": share, "maximum_queued_requests": 5000} for name in workspaces},
            [f.engine_upstream(self.runners)], f.STANDARD_ROUTES[:1],
            limits={"queue_timeout": "60s", "largest_request_cost": 120.0,
                    "slot_service_rate": 1000.0 / TOKEN_MS})

    def runner_targets(self):
        return [runner["address"] for runner in self.runners]

    def busy_share(self, seconds):
        slots = sum(runner["slots"] for runner in self.runners)
        samples = []
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            running = 0
            for runner in self.runners:
                running += min(runner["slots"], f.get_json(runner["address"], "/load")["running"])
            samples.append(running / slots)
            time.sleep(0.02)
        return statistics.mean(samples)


def skewed_load(bench, targets_of, duration):
    """Closed loops with unequal depth: most workspaces enter at the first routers. `targets_of`
    gives the targets of a router index. Returns the load processes."""
    children = []
    routers = len(bench.list)
    for index, name in enumerate(WORKSPACES):
        entry = 0 if index < 6 else index % routers
        depth = 40 if index == 0 else 24 if index in (1, 2) else 10
        children.append(run_load(
            targets_of(entry), workspaces_flag([name]), f"--concurrency={depth}",
            "--kinds=chat", f"--max_tokens={bench.deployment['tokens']}",
            f"--duration={duration}", "--drain=0.2", f"--seed={index + 1}", wait=False))
    return children


def gap_of(results):
    tokens = {}
    for result in results:
        for group in result["groups"]:
            tokens[group["workspace"]] = tokens.get(group["workspace"], 0) + group["tokens"]
    return max(tokens.values()) - min(tokens.values())


def measure_fairness(recorder):
    duration = 12
    for name in DEPLOYMENTS:
        gaps, busy, direct_gaps, bounds = [], [], [], []
        for _ in range(recorder.runs):
            with Bench(name) as bench:
                children = skewed_load(bench, lambda i, b=bench: [b.list[i].caller], duration)
                time.sleep(3)
                busy.append(100 * bench.busy_share(duration - 5))
                gaps.append(gap_of([load_result(child) for child in children]))
                bounds.append(bench.list[0].status()["fairness_bound"])
                children = skewed_load(bench, lambda _, b=bench: b.runner_targets(), duration)
                direct_gaps.append(gap_of([load_result(child) for child in children]))
        recorder.add("fairness_gap", name, gaps, "tokens per share in 12 s", bound=bounds[0],
                     baseline_name="first-in-first-out in the engines' queues, no router",
                     baseline=direct_gaps)
        recorder.add("utilisation", name, busy, "% of slots busy while work waits", bound=97)


def measure_flood(recorder):
    """Eight workspaces with moderate work while two others flood with ten times the capacity."""
    quiet, loud = WORKSPACES[:8], WORKSPACES[8:10]
    for name in DEPLOYMENTS:
        values = {kind: {key: [] for key in ("kept", "wait", "direct_kept", "direct_wait")}
                  for kind in ("low", "high")}
        for _ in range(recorder.runs):
            with Bench(name) as bench:
                routers = [router.caller for router in bench.list]
                for kind, quiet_class, loud_class in (("low", "interactive", "batch"),
                                                      ("high", "batch", "interactive")):
                    taken = values[kind]
                    alone = flood_run(bench, routers, quiet, quiet_class, [], loud_class)
                    flooded = flood_run(bench, routers, quiet, quiet_class, loud, loud_class)
                    direct = flood_run(bench, bench.runner_targets(), quiet, quiet_class, loud,
                                       loud_class)
                    taken["kept"].append(100 * flooded[0] / alone[0])
                    taken["wait"].append(flooded[1] / alone[1])
                    taken["direct_kept"].append(100 * direct[0] / alone[0])
                    taken["direct_wait"].append(direct[1] / alone[1])
        for kind, taken in values.items():
            recorder.add(f"flood_kept_{kind}", name, taken["kept"], "% of throughput kept",
                         bound=95, baseline_name="first-in-first-out, no router",
                         baseline=taken["direct_kept"])
            recorder.add(f"flood_wait_ratio_{kind}", name, taken["wait"],
                         "ratio of p95 first token with and without flood", bound=1.5,
                         baseline_name="first-in-first-out, no router",
                         baseline=taken["direct_wait"])


def flood_run(bench, targets, quiet, quiet_class, loud, loud_class):
    """(answers a second, p95 of the first token in ms) of the quiet workspaces."""
    mean_tokens = 35
    capacity = len(bench.runners) * SLOTS * 1000 / (FIRST_TOKEN_MS + mean_tokens * TOKEN_MS)
    duration = 4
    flood = None
    if loud:
        flood = run_load(targets, workspaces_flag(loud), f"--rate={10 * capacity}",
                         f"--classes={loud_class}", "--kinds=chat_stream",
                         "--max_tokens=uniform:10:60", f"--duration={duration + 2}", "--drain=0.2",
                         "--seed=2", "--max_in_flight=20000", wait=False)
        time.sleep(1.5)
    result = run_load(targets, workspaces_flag(quiet), f"--rate={0.4 * capacity}",
                      f"--classes={quiet_class}", "--kinds=chat_stream",
                      "--max_tokens=uniform:10:60", f"--duration={duration}", "--drain=2",
                      "--seed=1")
    if flood:
        load_result(flood)
    answered = sum(group["answered"] for group in result["groups"]) / duration
    waits = [group["first_token_ms"]["p95"] for group in result["groups"]]
    return max(answered, 1e-9), statistics.median(waits)


def measure_added(recorder):
    first, between = [], []
    for _ in range(recorder.runs):
        with Bench("atlas") as bench:
            flags = [workspaces_flag(WORKSPACES[:4]), "--rate=60", "--kinds=chat_stream",
                     "--max_tokens=fixed:30", "--duration=8", "--drain=2"]
            direct = run_load(bench.runner_targets(), *flags)
            routed = run_load([router.caller for router in bench.list], *flags)

            def p95(result, key):
                return statistics.median(group[key]["p95"] for group in result["groups"])

            first.append(p95(routed, "first_token_ms") - p95(direct, "first_token_ms"))
            between.append(p95(routed, "between_tokens_ms") - p95(direct, "between_tokens_ms"))
    recorder.add("added_first_byte_ms_p95", "atlas, 60 requests/s", first, "ms", bound=2,
                 baseline_name="direct to the same engines", baseline=[0.0])
    recorder.add("added_between_tokens_ms_p95", "atlas, 60 requests/s", between, "ms", bound=1,
                 baseline_name="direct to the same engines", baseline=[0.0])


def measure_configuration(recorder):
    times = []
    with Bench("atlas") as bench:
        bench.platform_faults(delay_ms=100)
        for run in range(max(recorder.runs, 5)):
            start = time.monotonic()
            status, answer = bench.apply(bench.document(WORKSPACES, 1.0 + run))
            assert status == 200, answer
            for router in bench.list:
                f.wait_until(lambda r=router: r.status()["generation"] >= answer["generation"], 20,
                             router.name)
            times.append(time.monotonic() - start)
    recorder.add("config_in_force_s", "atlas, 7 routers, platform answers in 100 ms", times, "s",
                 bound=2)


def measure_leaving(recorder):
    for platform_up in (True, False):
        times = []
        for _ in range(recorder.runs):
            with Bench("atlas") as bench:
                runner = bench.runners[0]["address"]
                load = run_load([router.caller for router in bench.list],
                                workspaces_flag(WORKSPACES[:4]), "--concurrency=80", "--kinds=chat",
                                "--max_tokens=fixed:10", "--duration=8", "--drain=1", wait=False)
                time.sleep(1.5)
                if not platform_up:
                    bench.platform_faults(outage="reject")
                start = time.monotonic()
                if platform_up:
                    incarnation = f.get_json(runner, "/load")["incarnation"]
                    f.request(bench.platform_address, "POST", "/control/instances", {"set": [
                        {"address": runner, "domain": "a", "role": "engine", "status": "leaving",
                         "incarnation": str(incarnation), "slots": SLOTS}]})
                else:
                    f.request(runner, "POST", "/control", {"leaving": True})
                last, started = start, -1
                while time.monotonic() < start + 5:
                    now = f.get_json(runner, "/control/statistics")["started"]
                    if now != started:
                        last, started = time.monotonic(), now
                    time.sleep(0.01)
                times.append(last - start)
                load_result(load)
        setting = "instance list" if platform_up else "platform down, runner's own word"
        recorder.add("leaving_stop_s", setting, times, "s until the last new request", bound=3)


def measure_relay(recorder):
    values, memory = [], []
    for _ in range(recorder.runs):
        with Bench("atlas", routers="a", slots=1024, runner_flags=("--token_ms=100",)) as bench:
            router = bench.list[0]
            load = run_load([router.caller], workspaces_flag(WORKSPACES[:8]), "--concurrency=2000",
                            "--kinds=chat_stream", "--max_tokens=fixed:100", "--duration=14",
                            "--drain=0.2", "--max_in_flight=4000", wait=False)
            time.sleep(4)
            cpu, tokens = cpu_seconds(router.process), generated(bench)
            time.sleep(8)
            values.append((generated(bench) - tokens) / (cpu_seconds(router.process) - cpu))
            memory.append(memory_mb(router.process))
            load_result(load)
    recorder.add("relay_events_per_core_second", "2,000 streams, one daemon", values,
                 "events for each core second of the daemon", bound=20000)
    recorder.add("memory_mb", "2,000 streams, one daemon", memory, "MB resident")


def generated(bench):
    return sum(f.get_json(r["address"], "/control/statistics")["generated_tokens"]
               for r in bench.runners)


def measure_grant(recorder):
    output = subprocess.run([f.BINARIES / "scheduling_benchmark", "--benchmark_format=json"],
                            capture_output=True, text=True, check=True).stdout
    for entry in json.loads(output)["benchmarks"]:
        factor = {"ns": 1e-3, "us": 1.0, "ms": 1e3}[entry["time_unit"]]
        # Benchmarks with manual time measure the decision alone and report it as real time.
        time_key = "real_time" if "manual_time" in entry["name"] else "cpu_time"
        recorder.add("grant_decision_us", entry["name"], [entry[time_key] * factor],
                     "microseconds for each iteration", bound=2)


def control_cost(bench, seconds):
    """(bytes a second, % of a core, private MB) as means over the daemons."""
    def sample():
        return [(control_bytes(router), cpu_seconds(router.process)) for router in bench.list]

    before, start = sample(), time.monotonic()
    time.sleep(seconds)
    after, elapsed = sample(), time.monotonic() - start
    count = len(bench.list)
    sent = sum(b[0] - a[0] for a, b in zip(before, after)) / elapsed / count
    core = 100 * sum(b[1] - a[1] for a, b in zip(before, after)) / elapsed / count
    return sent, core, statistics.mean(private_mb(router.process) for router in bench.list)


def measure_control(recorder):
    """Control cost of the deployments, idle and with a backlog of all workspaces."""
    for name in DEPLOYMENTS:
        for load in ("idle", "backlogged"):
            samples = []
            for _ in range(recorder.runs):
                with Bench(name) as bench:
                    # The exchange of members and configuration after the start is over by then.
                    time.sleep(8)
                    children = []
                    if load == "backlogged":
                        children = skewed_load(bench, lambda i, b=bench: [b.list[i].caller], 12)
                        time.sleep(3)
                    samples.append(control_cost(bench, 7))
                    for child in children:
                        load_result(child)
            setting = f"{name}, {load}"
            recorder.add("control_bytes_per_daemon_second", setting, [s[0] for s in samples],
                         "bytes sent and received", bound=3000)
            recorder.add("control_core_percent", setting, [s[1] for s in samples],
                         "% of a core, data path included", bound=3.6)
            recorder.add("memory_mb", setting, [s[2] for s in samples], "MB private", bound=32)


def measure_slopes(recorder):
    """Control cost over routers, workspaces, runners, requests and changes, each varied alone."""
    cases = [("routers", count, {"routers": ("abc" * count)[:count]}) for count in (6, 24, 60, 120)]
    cases += [("workspaces", count, {"workspaces": [f"x{i}" for i in range(count)]})
              for count in (16, 200, 670)]
    for variable, count, extra in cases:
        with Bench("kalahari", **extra) as bench:
            time.sleep(15 if count >= 60 and variable == "routers" else 8)
            record_slope(recorder, variable, count, control_cost(bench, 10))
    for count in (10, 300, 1800):
        with Bench("kalahari") as bench:
            runners = []
            for domain in "abc":
                runners += bench.start_runners("engine_stand_in", f"more-{domain}", [domain], SLOTS,
                                               ports=count // 3)
            bench.runners = runners
            status, answer = bench.apply(bench.document(WORKSPACES))
            assert status == 200, answer
            time.sleep(6)
            record_slope(recorder, "runners", count, control_cost(bench, 10))
    for rate in (30, 120, 240):
        with Bench("kalahari") as bench:
            load = run_load([router.caller for router in bench.list], workspaces_flag(WORKSPACES),
                            f"--rate={rate}", "--kinds=chat", "--max_tokens=fixed:2",
                            "--duration=14", "--drain=1", wait=False)
            time.sleep(3)
            record_slope(recorder, "requests a second", rate, control_cost(bench, 9))
            load_result(load)
    with Bench("kalahari") as bench:
        child = f.Background(apply_for, bench, 12)
        time.sleep(1)
        record_slope(recorder, "changes a second", 2, control_cost(bench, 9))
        child.join_result()


def apply_for(bench, seconds):
    deadline, share = time.monotonic() + seconds, 1.0
    while time.monotonic() < deadline:
        share += 0.01
        status, answer = bench.apply(bench.document(WORKSPACES, share))
        assert status == 200, answer
        time.sleep(0.5)


def record_slope(recorder, variable, count, cost):
    setting = {"variable": variable, "value": count}
    recorder.add("control_bytes_per_daemon_second", setting, [cost[0]], "bytes sent and received")
    recorder.add("control_core_percent", setting, [cost[1]], "% of a core")
    recorder.add("memory_mb", setting, [cost[2]], "MB private")


def service_of(router):
    rows = router.admin_call("GET", "/v1/workspaces")[1]["workspaces"]
    return {row["name"]: row["service"] for row in rows}


def measure_series(recorder):
    """Time series for the plots: the gap with a cut domain, and other work during a flood."""
    folder = recorder.path.parent / "plots"
    folder.mkdir(exist_ok=True)
    record_gap_series(folder / "gap_over_time.tsv")
    record_flood_series(folder / "flood_over_time.tsv")
    subprocess.run(["gnuplot", REPOSITORY / "meta" / "plots.gp"], cwd=folder, check=True)


def record_gap_series(path):
    lines = ["# seconds, gap in tokens per share since the start, bound, 1 while domain c is cut off"]
    with Bench("atlas") as bench:
        children = skewed_load(bench, lambda i, b=bench: [b.list[i].caller], 40)
        time.sleep(2)
        inside = [router for router in bench.list if router.domain == "c"]
        outside = [router for router in bench.list if router.domain != "c"]
        start, first, bound = time.monotonic(), service_of(bench.list[0]), 0
        cut = False
        while (now := time.monotonic() - start) < 35:
            if (10 <= now < 18) != cut:
                cut = not cut
                for router in inside:
                    router.block_peers(outside if cut else [])
                for router in outside:
                    router.block_peers(inside if cut else [])
            current = service_of(bench.list[0])
            received = [current[name] - first[name] for name in WORKSPACES]
            bound = bench.list[0].status()["fairness_bound"]
            lines.append(f"{now:.2f}\t{max(received) - min(received):.0f}\t{bound:.0f}\t{int(cut)}")
            time.sleep(0.25)
        for child in children:
            load_result(child)
    path.write_text("\n".join(lines) + "\n")


def record_flood_series(path):
    """Answers a second and p95 of the first token of quiet workspaces, flood from 8 s to 16 s."""
    lines = ["# seconds, answers a second, p95 first token in ms, 1 during the flood"]
    with Bench("kalahari") as bench:
        routers = [router.caller for router in bench.list]
        history = bench.folder / "history.jsonl"
        capacity = len(bench.runners) * SLOTS * 1000 / (FIRST_TOKEN_MS + 35 * TOKEN_MS)
        quiet = run_load(routers, workspaces_flag(WORKSPACES[:8]), f"--rate={0.4 * capacity}",
                         "--classes=interactive", "--kinds=chat_stream",
                         "--max_tokens=uniform:10:60", "--duration=24", "--drain=2",
                         f"--history={history}", wait=False)
        time.sleep(8)
        flood = run_load(routers, workspaces_flag(WORKSPACES[8:10]), f"--rate={10 * capacity}",
                         "--classes=batch", "--kinds=chat_stream", "--max_tokens=uniform:10:60",
                         "--duration=8", "--drain=0.2", "--max_in_flight=20000", wait=False)
        load_result(flood)
        load_result(quiet)
        entries = [json.loads(line) for line in history.read_text().splitlines()]
    for second in range(24):
        inside = [e for e in entries if second <= e["planned"] < second + 1
                  and e["result"] == "answered"]
        waits = sorted(1000 * (e["first"] - e["planned"]) for e in inside)
        p95 = waits[int(0.95 * (len(waits) - 1))] if waits else 0
        lines.append(f"{second}\t{len(inside)}\t{p95:.1f}\t{int(8 <= second < 16)}")
    path.write_text("\n".join(lines) + "\n")


GROUPS = {
    "fairness": measure_fairness,
    "flood": measure_flood,
    "added": measure_added,
    "configuration": measure_configuration,
    "leaving": measure_leaving,
    "relay": measure_relay,
    "grant": measure_grant,
    "control": measure_control,
    "slopes": measure_slopes,
    "series": measure_series,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="measurements.jsonl")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("groups", nargs="*", help=", ".join(GROUPS))
    arguments = parser.parse_args()
    unknown = set(arguments.groups) - set(GROUPS)
    if unknown:
        parser.error(f"unknown groups {sorted(unknown)}; there are {', '.join(GROUPS)}")
    recorder = Recorder(arguments.output, arguments.runs)
    for name in arguments.groups or GROUPS:
        GROUPS[name](recorder)
        recorder.write()


if __name__ == "__main__":
    main()
