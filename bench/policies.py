"""Compare routing policies on the same arrivals; run with `python -m bench.policies`.

Each run uses real gateway, upstream and load processes on loopback.
"""

import argparse
import asyncio
import json
import math
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from bench.analysis import RunSummary, check_targets, summarise
from bench.cases import CASES, FLOORS, RANKS, USERS, User
from bench.measure import FLOOD_LOAD_PROCESSES, UPSTREAM_PROCESSES, Plan, run_case
from dogwoodshed._internal import plugins, registry

POLICIES = ("round_robin", "random", "least_in_flight", "slices", "central")
OUTPUT_FOLDER = Path(".bench")
# Gateways are idle most of the time; more processes per core would delay all of them.
PROCESSES_PER_CORE = 4
FULL_S, QUICK_S = 60.0, 15.0
FULL_WARM_UP_S, QUICK_WARM_UP_S = 5.0, 3.0


def main() -> int:
    """Run the comparison and return 1 if a target was missed."""
    options = _parse()
    # SIGTERM ends the started processes, as SIGINT does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    policies = registered_policies(options.policies)
    gateways = _limit_gateways(options.gateways)
    missed = False
    for name in options.users:
        user = USERS[name]
        user = user._replace(mean_ms=user.mean_ms * options.scale)
        duration = options.seconds or (QUICK_S if options.quick else FULL_S)
        warm_up = QUICK_WARM_UP_S if options.quick else FULL_WARM_UP_S
        plan = Plan(user, gateways, duration + warm_up, warm_up, options.seed)
        missed |= _compare(plan, policies, options.cases)
    return int(missed)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bench.policies", description=__doc__)
    parser.add_argument("--gateways", type=int, default=16)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="shorter runs")
    parser.add_argument("--seconds", type=float, help="length of each run")
    parser.add_argument(
        "--scale",
        type=float,
        default=1.0,
        help="multiplies service times and divides rates, for a busy machine",
    )
    parser.add_argument("--policies", nargs="+", default=POLICIES, choices=POLICIES)
    parser.add_argument("--cases", nargs="+", default=tuple(CASES), choices=CASES)
    parser.add_argument("--users", nargs="+", default=tuple(USERS), choices=USERS)
    return parser.parse_args()


def registered_policies(names: list[str]) -> list[str]:
    """Return the policies that are registered and print the others."""
    plugins.load()
    registered = set(registry.names(registry.ROUTING))
    if "slices" in registered:
        registered.add("central")
    for name in names:
        if name not in registered:
            print(f"policy {name} is not registered: skipped")
    return [name for name in names if name in registered]


def _limit_gateways(wanted: int) -> int:
    others = UPSTREAM_PROCESSES + FLOOD_LOAD_PROCESSES
    limit = max(2, PROCESSES_PER_CORE * (os.cpu_count() or 1) - others)
    if limit < wanted:
        print(f"this machine can run {limit} gateways, not {wanted}")
    return min(wanted, limit)


def _compare(plan: Plan, policies: list[str], cases: list[str]) -> bool:
    user = plan.user
    print(
        f"\n{user.name}: {user.upstreams} upstreams x {user.slots} slots, mean "
        f"{user.mean_ms:g} ms, capacity {user.capacity_per_s:g} calls/s, "
        f"{plan.gateways} gateways, seed {plan.seed}, "
        f"{plan.duration - plan.warm_up:g} s counted after {plan.warm_up:g} s"
    )
    summaries: dict[tuple[str, str], RunSummary] = {}
    for name in cases:
        _print_header(name)
        for policy in policies:
            if policy == "central" and CASES[name].flood_rank:
                print(f"{policy:16} not run: a flood exceeds one process")
                continue
            run = asyncio.run(run_case(plan, policy, CASES[name]))
            summary = summarise(run, user, plan.duration - plan.warm_up)
            summaries[policy, name] = summary
            _print_summary(policy, summary, user)
    results = check_targets(summaries)
    print("\ntargets")
    for result in results:
        print(f"  {result}")
    _write(plan, summaries, results)
    return any(result.met is False for result in results)


def _print_header(name: str) -> None:
    print(f"\n{_describe_case(name)}")
    print(
        f"{'policy':16} {'rank':7} {'sent':>6} {'p50':>6} {'p99':>6} {'p99.9':>6} "
        f"{'in time':>8} {'served':>7} {'share':>6} {'floor':>6} {'not run':>8} "
        f"{'unknown':>8}"
    )


def _describe_case(name: str) -> str:
    """Return a heading for a case."""
    case = CASES[name]
    flood = f", flood of {case.flood_rank}" if case.flood_rank else ""
    return f"{name}: {case.load:g} of capacity{flood} (times in ms)"


def _print_summary(policy: str, summary: RunSummary, user: User) -> None:
    for rank in RANKS:
        row = summary.ranks[rank]
        sent = max(1, row.sent)
        print(
            f"{policy:16} {rank:7} {row.sent:6} {row.p50_ms:6.0f} {row.p99_ms:6.0f} "
            f"{row.p999_ms:6.0f} {row.in_time:8.4f} {row.answered / sent:7.3f} "
            f"{summary.shares[rank]:6.3f} {FLOORS[rank]:6.2f} "
            f"{row.not_run / sent:8.4f} {row.unknown / sent:8.4f}"
        )
    total = summary.total
    run = summary.run
    control = run["control_bytes_per_s"]
    bytes_text = "not measured" if control is None else f"{control:.0f} B/s"
    print(
        f"{'':16} {'all':7} {total.sent:6} {total.p50_ms:6.0f} {total.p99_ms:6.0f} "
        f"{total.p999_ms:6.0f} {total.in_time:8.4f}  of capacity "
        f"{summary.utilisation:.2f}; probes {summary.probes_per_s:.2f}/s; control "
        f"bytes/gateway {bytes_text}; cores: gateway {run['gateway_cores']:.2f}, "
        f"all gateways {run['gateways_cores']:.2f}, load {run['load_cores']:.2f}, "
        f"stand-in {run['stand_in_cores']:.2f}; load average {run['load_average']:.0f} "
        f"of {os.cpu_count()}",
        flush=True,
    )
    if run["not_answering"]:
        names = ", ".join(run["not_answering"])
        print(f"{'':16} NO ANSWER from {names} at the end", flush=True)


def _write(
    plan: Plan, summaries: dict[tuple[str, str], RunSummary], results: list[Any]
) -> None:
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    stamp = time.strftime("%Y%m%dT%H%M%S")
    path = OUTPUT_FOLDER / f"policies-{plan.user.name}-{stamp}.json"
    data = {
        "command": [Path(sys.argv[0]).name, *sys.argv[1:]],
        "plan": plan._asdict() | {"user": plan.user._asdict()},
        "runs": [
            {"policy": policy, "case": case, **_plain(summary)}
            for (policy, case), summary in summaries.items()
        ],
        "targets": [result._asdict() for result in results],
    }
    path.write_text(json.dumps(data, indent=1), encoding="utf-8")
    print(f"written to {path}")


def _plain(value: Any) -> Any:
    """Convert named tuples to dicts and infinite values to None, for JSON."""
    if hasattr(value, "_asdict"):
        value = value._asdict()
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


if __name__ == "__main__":
    sys.exit(main())
