"""Run the scenarios; pass over those that KNOWN-RED.txt lists, and print them."""

import re
import subprocess
import sys
import tempfile
from pathlib import Path

LIST = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
_FAILING = re.compile(r"^\s+(tests/features/\S+\.feature:\d+)\s", re.MULTILINE)
_LISTED = re.compile(r"tests/features/\S+\.feature:\d+")
_SCENARIO = re.compile(r"^(?=\s*Scenario: )", re.MULTILINE)
_FAILED_STEP = re.compile(r" \.\.\. (failed|error) in ")


def main() -> int:
    """Return 0 if no scenario failed but the listed ones."""
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
        # A failure that shows once can only be traced by its step and its message.
        for scenario in _SCENARIO.split(details.read()):
            if _FAILED_STEP.search(scenario):
                print(scenario)
    listed = set(_LISTED.findall(LIST.read_text())) if LIST.exists() else set()
    # Scenarios that ended with an error stand in a section of their own.
    failing = set(_FAILING.findall(run.stdout))
    for scenario in sorted(failing):
        known = "known red" if scenario in listed else "RED"
        print(f"{known}: {scenario}")
    only_known = failing and all(scenario in listed for scenario in failing)
    return 0 if only_known else run.returncode


if __name__ == "__main__":
    sys.exit(main())
