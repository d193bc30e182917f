"""Run the soak: `python -m tests.soak [--seed N] [--seeds N] [--seconds S]`."""

import argparse
import asyncio
import random
import sys

from tests.soak.run import run_seed


def main() -> int:
    """Run seeds one after the other and print their violations."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument(
        "--seeds", type=int, default=10, help="number of random seeds to run"
    )
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of the fault injection"
    )
    options = parser.parse_args()
    seeds = [options.seed]
    if options.seed is None:
        seeds = [random.randrange(10**6) for _ in range(options.seeds)]
    failed = 0
    for seed in seeds:
        print(f"seed {seed}: ", end="", flush=True)
        soak = asyncio.run(run_seed(seed, options.seconds))
        print(soak.summary, flush=True)
        for violation in soak.violations:
            print(f"  {violation}", flush=True)
        if soak.violations:
            failed += 1
            print(f"  faults: {', '.join(soak.faults)}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
