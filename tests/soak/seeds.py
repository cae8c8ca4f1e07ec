"""The command line of the soak tests: which seeds to run, and how long."""

import argparse
import sys


def seed_parser(description, seconds):
    """Returns a parser that knows --seeds and --seconds; `seconds` is the time with faults by default."""
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="1", help="one seed, or the first and the last: 1-50")
    parser.add_argument("--seconds", type=float, default=seconds, help="time with faults in each seed")
    return parser


def run_seeds(seeds, run):
    """Calls `run` with each seed of a range as `--seeds` takes it. Ends the process, with an error if `run`
    returned False for a seed."""
    first, _, last = seeds.partition("-")
    failed = [seed for seed in range(int(first), int(last or first) + 1) if not run(seed)]
    print(f"failed seeds: {failed}" if failed else "all seeds kept all promises")
    sys.exit(1 if failed else 0)
