#!/usr/bin/env python3
"""Prints where requests wait, are refused and are late, from the log of pomelospar_edge.

usage: meta/load_table.py LOG [--seconds N]

Reads the lines "request" and "first_event" of one or more routers; text before the JSON object of a
line is ignored. The first table has a row for each route, the second one for each period.
"""
import argparse
import collections
import json
import sys
from datetime import datetime


def read_log(lines):
    """Returns the lines "request" and, by request, the lines "first_event"."""
    requests, first_events = [], {}
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        if entry.get("message") == "request":
            entry["at"] = datetime.fromisoformat(entry["time"].replace("Z", "+00:00"))
            requests.append(entry)
        elif entry.get("message") == "first_event":
            first_events[entry["request"]] = entry
    return requests, first_events


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def print_routes(requests, first_events):
    print("route            answered refused  limit_ms share_use held_ms | first event ms (10/50/90%)"
          "  observed/predicted (10/50/90%)")
    by_route = collections.defaultdict(list)
    for request in requests:
        if request["prompt_tokens"] > 0 and request["route"]:
            by_route[request["route"] + (" retry" if request["returning"] else "")].append(request)
    for route, entries in sorted(by_route.items()):
        refused = [entry for entry in entries if entry["outcome"] == "refused"]
        answered = [entry for entry in entries if entry["outcome"] == "answered"]
        begun = [first_events[entry["request"]] for entry in answered
                 if entry["request"] in first_events]
        observed = [event["observed_ms"] for event in begun]
        ratios = [event["observed_ms"] / max(event["predicted_ms"], 1.0) for event in begun]
        medians = [quantile([entry[field] for entry in refused], 0.5)
                   for field in ("queue_limit_ms", "share_use", "ms")]
        print("{:16} {:8} {:7} {:9.0f} {:9.2f} {:7.0f} | {:8.0f} {:6.0f} {:6.0f}"
              "  {:12.2f} {:6.2f} {:6.2f}".format(
                  route, len(answered), len(refused), *medians,
                  *(quantile(observed, share) for share in (0.1, 0.5, 0.9)),
                  *(quantile(ratios, share) for share in (0.1, 0.5, 0.9))))


def print_periods(requests, seconds):
    print("\nfrom_s  asked  answered  to prefill (thousand prompt tokens a second)")
    begin = min(entry["at"] for entry in requests)
    periods = collections.defaultdict(lambda: [0.0, 0.0, 0.0])
    for entry in requests:
        sums = periods[int((entry["at"] - begin).total_seconds() // seconds)]
        sums[0] += entry["prompt_tokens"]
        if entry["outcome"] == "answered":
            sums[1] += entry["prompt_tokens"]
            sums[2] += entry["prompt_tokens"] - entry["cached_tokens"]
    for period, sums in sorted(periods.items()):
        print("{:6.0f} {:6.0f} {:9.0f} {:11.0f}".format(
            period * seconds, *(tokens / 1e3 / seconds for tokens in sums)))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", type=argparse.FileType("r"))
    parser.add_argument("--seconds", type=float, default=2.0, help="length of a period")
    arguments = parser.parse_args()
    requests, first_events = read_log(arguments.log)
    if not requests:
        sys.exit("load_table: the log has no line of a request; was it written by pomelospar_edge?")
    print_routes(requests, first_events)
    print_periods(requests, arguments.seconds)


if __name__ == "__main__":
    main()
