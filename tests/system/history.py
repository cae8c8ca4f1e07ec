"""Compares the responses that callers received with the executions that upstreams recorded.

A call is one request of a caller and its response; a run is one execution at a plain service.
"""

import collections
import dataclasses
import json


@dataclasses.dataclass
class Call:
    key: str
    body: str
    status: int = 0
    # "answered", "not_run", "unknown", or "lost" if the caller got no complete response.
    outcome: str = "lost"
    answer: bytes = b""
    replayed: bool = False


def read_runs(paths):
    """Returns the runs of all services as (key, body hash), in no particular order."""
    runs = []
    for path in paths:
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                entry = json.loads(line)
                runs.append((entry["key"], entry["body_hash"]))
    return runs


def violations(calls, runs):
    """Returns a message for each guarantee that the history violates; empty if there is none."""
    found = []
    count = collections.Counter(key for key, _ in runs)
    for key, times in count.items():
        if times > 1:
            found.append(f"key {key} ran {times} times")
    by_key = collections.defaultdict(list)
    for call in calls:
        by_key[call.key].append(call)
    for key, group in by_key.items():
        outcomes = {call.outcome for call in group}
        if outcomes == {"not_run"} and count[key] > 0:
            found.append(f"key {key} ran although every caller was told not_run")
        if "answered" in outcomes and count[key] == 0:
            found.append(f"key {key} was answered but never ran")
        bodies = {call.answer for call in group if call.outcome == "answered"}
        if len(bodies) > 1:
            found.append(f"key {key} got {len(bodies)} different answers")
        for call in group:
            if call.outcome == "answered" and key.encode() not in call.answer:
                found.append(f"key {key} got an answer of another request: {call.answer[:120]!r}")
    for key in set(count) - set(by_key):
        found.append(f"key {key} ran but nobody asked for it")
    return found
