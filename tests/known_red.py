"""Run the scenarios and ignore, but print, failures that KNOWN-RED.txt lists."""

import re
import subprocess
import sys
import tempfile
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
_FAILING_SCENARIO = re.compile(r"^\s+(tests/features/\S+\.feature:\d+)\s", re.MULTILINE)
_LISTED_SCENARIO = re.compile(r"tests/features/\S+\.feature:\d+")
_SCENARIO_START = re.compile(r"^(?=\s*Scenario: )", re.MULTILINE)
_FAILED_STEP = re.compile(r" \.\.\. (failed|error) in ")


def main() -> int:
    """Return 0 if only listed scenarios failed."""
    with tempfile.NamedTemporaryFile("r", suffix=".txt") as details:
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["--format", "plain", "--outfile", details.name]
        command += ["--format", "progress"]
        run = subprocess.run(
            [*command, *(sys.argv[1:] or ["tests/features"])],
            stdout=subprocess.PIPE,
            text=True,
        )
        print(run.stdout, end="")
        if run.returncode == 0:
            return 0
        # Print the failed step and its message: a failure that does not occur again can
        # only be traced from them.
        for scenario in _SCENARIO_START.split(details.read()):
            if _FAILED_STEP.search(scenario):
                print(scenario)
    listed = (
        set(_LISTED_SCENARIO.findall(KNOWN_RED_FILE.read_text()))
        if KNOWN_RED_FILE.exists()
        else set()
    )
    # Matches both sections of the summary: failed scenarios and those with errors.
    failing = set(_FAILING_SCENARIO.findall(run.stdout))
    for scenario in sorted(failing):
        label = "known red" if scenario in listed else "RED"
        print(f"{label}: {scenario}")
    only_known = failing and all(scenario in listed for scenario in failing)
    return 0 if only_known else run.returncode


if __name__ == "__main__":
    sys.exit(main())
