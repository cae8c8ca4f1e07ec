"""Runs the Atlas example: 7 routers in 3 failure domains, the platform, 10 engine runners and 3
plain-service runners as emulators. Sends requests, prints the answers and short versions of the
four measures; meta/measure.sh takes the long ones.
"""

import argparse
import concurrent.futures
import json
import re
import shlex
import signal
import statistics
import subprocess
import sys
import time
import tomllib

from measure import control_cost, f

ROUTER_DOMAINS = "aabbccc"
# One slot makes 50 output tokens a second, as the fleet file declares in `slot_service_rate`.
TOKEN_MS = 20
FIRST_TOKEN_MS = 50
# Mean of the uniform distribution below.
TOKENS, MEAN_TOKENS = "uniform:20:60", 40
EXAMPLE = f.REPOSITORY / "examples" / "atlas" / "fleet.toml"


def title(text):
    print(f"\n== {text}", flush=True)


def api_key(workspace):
    return f"example-key-{workspace}"


def run(arguments, shown=None, quiet=False):
    """Runs a command to its end, shows it and its output; returns the output."""
    if not quiet:
        print("$ " + shlex.join(shown or arguments), flush=True)
    result = subprocess.run(arguments, capture_output=True, text=True, timeout=60, check=False)
    output = result.stdout + result.stderr
    if not quiet:
        print(output.rstrip() + "\n", flush=True)
    if result.returncode != 0:
        raise RuntimeError(f"{arguments[0]} ended with status {result.returncode}: {output}")
    return output


class Demo(f.Fleet):
    """The fleet of the Atlas example, with the runners' addresses that the system chose."""

    def __init__(self):
        super().__init__()
        self.loads = []

    def start(self):
        """Not in the constructor, so that a failure here also stops what was started."""
        self.start_platform()
        document = EXAMPLE.read_text()
        tables = {upstream["name"]: upstream for upstream in tomllib.loads(document)["upstream"]}
        self.engines = self.start_upstream(
            tables["design-assistant"], "engine_stand_in", f"--first_token_ms={FIRST_TOKEN_MS}",
            f"--token_ms={TOKEN_MS}", "--slowdown_per_running=0")
        self.services = self.start_upstream(tables["order-desk"], "service_stand_in")
        real = {runner["declared"]: runner["address"] for runner in self.engines + self.services}
        self.document = re.sub(r"127\.0\.0\.1:\d+", lambda found: real[found.group()], document)
        self.fleet_file = self.folder / "fleet.toml"
        self.fleet_file.write_text(self.document)
        self.workspaces = tomllib.loads(self.document)["workspace"]
        for index, domain in enumerate(ROUTER_DOMAINS):
            self.add_router(f"r{index}", domain, region="local", faults={"enabled": False})
        self.list = list(self.routers.values())
        for router in self.list:
            router.start()

    def start_upstream(self, upstream, program, *flags):
        """One process for each runner of the fleet file."""
        runners = []
        for index, declared in enumerate(upstream["runners"]):
            slots = [f"--slots={declared['slots']}"] if program == "engine_stand_in" else []
            process = self.run(f"{upstream['name']}-{index}", [f.BINARIES / program, *slots, *flags])
            runners.append({"declared": declared["address"], "slots": declared["slots"],
                            "address": process.announcement["address"]})
        return runners

    def stop(self):
        # A second Ctrl-C must not leave processes behind.
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for child in self.loads:
            if child.poll() is None:
                child.kill()
            child.wait()
        super().stop()

    def tool(self, *arguments, quiet=False):
        """Runs pomelosparctl; the shown command leaves out where the router and the token are."""
        servers = ",".join(router.admin for router in self.list)
        return run([str(f.BINARIES / "pomelosparctl"), *arguments, f"--server={servers}",
                    f"--token_file={self.folder / 'admin.token'}"],
                   ["pomelosparctl", *arguments], quiet)

    def curl(self, router, path, body, key, *headers):
        arguments = ["curl", "-sS", "-i", f"http://{router.caller}{path}", "-H",
                     f"Authorization: Bearer {key}"]
        for header in ("Content-Type: application/json", *headers):
            arguments += ["-H", header]
        return run([*arguments, "-d", json.dumps(body)])

    def start_load(self, sources, duration, *flags):
        plan = self.folder / f"plan-{len(self.loads)}.toml"
        plan.write_text(f.toml_document({"source": sources}))
        targets = ",".join(router.caller for router in self.list)
        child = subprocess.Popen(
            [f.BINARIES / "pomelospar_load", "--json", "--model=atlas-draft", f"--plan={plan}",
             f"--targets={targets}", f"--duration={duration}", f"--max_tokens={TOKENS}", *flags],
            stdout=subprocess.PIPE)
        self.loads.append(child)
        return child

    def capacity(self):
        """Requests a second that the engines can run."""
        slots = sum(runner["slots"] for runner in self.engines)
        return slots * 1000 / (FIRST_TOKEN_MS + MEAN_TOKENS * TOKEN_MS)

    def service(self):
        _, answer = self.list[0].admin_call("GET", "/v1/workspaces")
        return {row["name"]: row["service"] for row in answer["workspaces"]}

    def utilisation(self, seconds):
        """Mean share of the engines' slots that is busy."""
        slots = sum(runner["slots"] for runner in self.engines)
        samples, deadline = [], time.monotonic() + seconds
        while time.monotonic() < deadline:
            busy = sum(min(runner["slots"], f.get_json(runner["address"], "/load")["running"])
                       for runner in self.engines)
            samples.append(busy / slots)
            time.sleep(0.05)
        return statistics.mean(samples)


def result_of(child):
    output, _ = child.communicate(timeout=90)
    if child.returncode != 0:
        raise RuntimeError(f"pomelospar_load ended with status {child.returncode}")
    return json.loads(output)


def source(workspaces, **fields):
    names = ",".join(f"{name}:{api_key(name)}" for name in workspaces)
    return {"workspaces": names, "kinds": "chat_stream", **fields}


def show_start(demo):
    title("A fleet without a configuration: check the Atlas file, apply it")
    for router in demo.list:
        f.wait_until(lambda r=router: f.request(r.admin, "GET", "/healthz")[0] == 200, 20,
                     f"{router.name} listens")
    demo.tool("validate", str(demo.fleet_file))
    start = time.monotonic()
    demo.tool("apply", str(demo.fleet_file), "--operator_name=demo", "--message=first configuration")
    demo.wait_ready()
    print(f"in force on {len(demo.list)} routers {time.monotonic() - start:.1f} s after the apply")


def show_requests(demo):
    key = api_key("kestrel-caravans")
    title("A draft: any router takes it, the outcome is a header")
    body = {"model": "atlas-draft", "max_tokens": 6, "user": "riad",
            "messages": [{"role": "user", "content": "a monogram for 40 towels"}]}
    output = demo.curl(demo.list[0], "/v1/chat/completions", body, key)
    identifier = re.search(r"(?i)pomelospar-request-id: (\w+)", output).group(1)
    title("The same draft as a stream through a router of another domain")
    demo.curl(demo.list[6], "/v1/chat/completions", {**body, "max_tokens": 3, "stream": True}, key)
    title("A booking runs once: the repeat through another router gets the recorded response")
    booking = {"order": 17, "machine": "stitcher-2"}
    demo.curl(demo.list[0], "/orders/bookings", booking, key, "Idempotency-Key: booking-17")
    # A response is recorded after it was sent; a repeat before that gets 409.
    time.sleep(0.5)
    demo.curl(demo.list[3], "/orders/bookings", booking, key, "Idempotency-Key: booking-17")
    title("Refused requests were not run and say so")
    demo.curl(demo.list[0], "/orders/bookings", booking, key)
    demo.curl(demo.list[0], "/v1/chat/completions", body, "no-such-key")
    title("What happened to the first draft")
    demo.tool("explain", identifier)


def show_views(demo):
    title("What an operator sees")
    demo.tool("status")
    demo.tool("upstreams")


def show_fairness(demo):
    # The workspace whose requests arrive first fills the idle slots; the others have caught up after
    # about 9 s.
    seconds, settle = 12, 10
    title(f"Fairness and utilisation: all 16 workspaces backlogged for {seconds} s")
    shares = {workspace["name"]: workspace["share"] for workspace in demo.workspaces}
    # Several times the slots that a workspace can get, so that work always waits.
    sources = [source([name], concurrency=int(24 + 12 * share)) for name, share in shares.items()]
    load = demo.start_load(sources, seconds + settle + 2, "--drain=0.2")
    time.sleep(settle)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        cost = pool.submit(control_cost, demo, seconds)
        before = demo.service()
        busy = demo.utilisation(seconds)
        after = demo.service()
        traffic = cost.result()
    demo.tool("workspaces")
    summary = result_of(load)
    got = {name: after[name] - before[name] for name in shares}
    normalised = {name: got[name] / shares[name] for name in shares}
    print(f"service in {seconds} s (cost units):")
    print(f"  {'workspace':22} {'share':>5} {'service':>9} {'per share':>10}")
    for name, share in shares.items():
        print(f"  {name:22} {share:5.1f} {got[name]:9.0f} {normalised[name]:10.0f}")
    wrong = sum(group["wrong"] for group in summary["groups"])
    answered = sum(group["answered"] for group in summary["groups"])
    print(f"{answered} answers, {wrong} of them not the caller's own or not whole")
    return {
        "gap": max(normalised.values()) - min(normalised.values()),
        "mean": statistics.mean(normalised.values()),
        "bound": demo.list[0].status()["fairness_bound"],
        "busy": 100 * busy,
        "loaded": traffic,
    }


def show_flood(demo):
    title("Flood: two large workspaces send ten times the capacity, four small ones go on working")
    quiet = [w["name"] for w in demo.workspaces if w["share"] == 1.0][:4]
    loud = [w["name"] for w in demo.workspaces if w["share"] > 4.0]
    seconds = 6

    def small_ones():
        work = source(quiet, rate=0.1 * demo.capacity(), classes="standard")
        result = result_of(demo.start_load([work], seconds, "--drain=4"))
        waits = [group["first_token_ms"]["p95"] for group in result["groups"]]
        return sum(group["answered"] for group in result["groups"]), statistics.median(waits)

    alone = small_ones()
    kept = {}
    for kind in ("batch", "interactive"):
        flood = demo.start_load(
            [source(loud, rate=10 * demo.capacity(), classes=kind)], seconds + 6, "--drain=0.2",
            "--max_in_flight=20000", "--seed=2")
        time.sleep(2)
        answered, wait = small_ones()
        result_of(flood)
        kept[kind] = 100 * answered / alone[0]
        print(f"flood of class {kind:12}: {answered} answers (alone {alone[0]}), first token at the "
              f"95th percentile {wait:.0f} ms (alone {alone[1]:.0f} ms)", flush=True)
        time.sleep(1)
    return kept


def show_measures(fairness, idle, kept):
    title("The four measures, short versions (meta/measure.sh takes the long ones)")
    print(f"fairness gap      {fairness['gap']:.0f} cost units per share; each workspace received "
          f"{fairness['mean']:.0f} per share; bound {fairness['bound']:.0f}")
    print(f"utilisation       {fairness['busy']:.1f} % of the engines' slots while work waits")
    print(f"control traffic   {idle[0]:.0f} bytes/s a daemon without load, "
          f"{fairness['loaded'][0]:.0f} bytes/s with all workspaces backlogged")
    print(f"flood             the other work keeps {kept['batch']:.0f} % of its answers in a flood of "
          f"the lowest class, {kept['interactive']:.0f} % in one of the highest")


def main():
    argparse.ArgumentParser(description=__doc__).parse_args()
    signal.signal(signal.SIGTERM, lambda number, _: sys.exit(128 + number))
    start = time.monotonic()
    with Demo() as demo:
        demo.start()
        show_start(demo)
        show_requests(demo)
        show_views(demo)
        time.sleep(1)
        idle = control_cost(demo, 6)
        fairness = show_fairness(demo)
        kept = show_flood(demo)
        show_measures(fairness, idle, kept)
        title(f"Stopping the {len(demo.processes) + len(demo.list)} processes")
    print(f"done in {time.monotonic() - start:.0f} s", flush=True)


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        print("interrupted; all processes of the demo were stopped", file=sys.stderr)
        sys.exit(130)
