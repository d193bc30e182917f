"""Steps on the demo."""

import json
import subprocess
import sys

from behave import then, when

# Time to start and stop the processes, in addition to the run itself.
START_AND_STOP_TIMEOUT_S = 60


@when("the operator runs the demo for {seconds:d} seconds with seed {seed:d}")
def run_demo(context, seconds, seed):
    command = [sys.executable, "-m", "dogwoodshed", "demo", "--json"]
    context.result = subprocess.run(
        [*command, "--seconds", str(seconds), "--seed", str(seed)],
        capture_output=True,
        text=True,
        check=False,
        timeout=seconds + START_AND_STOP_TIMEOUT_S,
    )


@then("every rank had calls and most urgent calls were answered")
def check_answered(context):
    ranks = json.loads(context.result.stdout)["ranks"]
    assert all(counts["sent"] > 0 for counts in ranks.values()), ranks
    urgent = ranks["urgent"]
    assert urgent["answered"] > 0.9 * urgent["sent"], ranks


@then("no call was lost, run twice, mixed up or told falsely that it was not run")
def check_clean(context):
    ranks = json.loads(context.result.stdout)["ranks"]
    for counts in ranks.values():
        for name in ("lost", "doubled", "mixed_up", "false_not_run"):
            assert counts[name] == 0, ranks
