"""Measure how costs grow with size; run with `python -m bench.capacity`."""

import argparse
import importlib
import json
import sys
import time
from pathlib import Path
from types import ModuleType

from bench.slopes.base import Point, fit

MECHANISMS = (
    "memory",
    "configuration",
    "heartbeat",
    "assignment",
    "queue",
    "records",
    "report",
    "calls",
    "mesh",
)
OUTPUT_FOLDER = Path(".bench")


def main() -> int:
    """Measure the chosen mechanisms and print their figures and growth."""
    parser = argparse.ArgumentParser(prog="bench.capacity", description=__doc__)
    parser.add_argument("mechanisms", nargs="*", default=MECHANISMS)
    names = parser.parse_args().mechanisms
    results = {}
    for name in names:
        print(f"\n{name}: python -m bench.capacity {name}")
        module = importlib.import_module(f"bench.slopes.{name}")
        points = module.measure()
        _print_figures(module, points)
        results[name] = [
            {"size": point.size, "figures": point.figures} for point in points
        ]
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    path = OUTPUT_FOLDER / f"capacity-{time.strftime('%Y%m%dT%H%M%S')}.json"
    path.write_text(json.dumps(results, indent=1), encoding="utf-8")
    print(f"\nwritten to {path}")
    return 0


def _print_figures(module: ModuleType, points: list[Point]) -> None:
    for point in points:
        size = " ".join(f"{key}={value}" for key, value in point.size.items())
        figures = "  ".join(f"{key}={v:.4g}" for key, v in point.figures.items())
        print(f"  {size}: {figures}", flush=True)
    common = set.intersection(*(set(point.figures) for point in points))
    sizes = [float(point.size[module.AXIS]) for point in points]
    for name in (key for key in points[0].figures if key in common):
        fitted = fit(sizes, [point.figures[name] for point in points])
        print(
            f"  {name} = {fitted.intercept:.4g} + {fitted.slope:.4g} x {module.AXIS}; "
            f"exponent {fitted.exponent:.2f}"
        )


if __name__ == "__main__":
    sys.exit(main())
