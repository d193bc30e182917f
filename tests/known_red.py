"""Run tests and ignore, but print, failures that KNOWN-RED.txt lists.

Without arguments the scenarios are run, with `--unit` the unit and functional tests.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
# Both forms match test ids in the output of the runner and in the list.
_SCENARIO = r"tests/features/\S+\.feature:\d+"
_UNIT_TEST = r"tests\.(?:unit|functional)\.[\w.]+"
_FAILING_SCENARIO = re.compile(rf"^\s+({_SCENARIO})\s", re.MULTILINE)
_FAILING_UNIT_TEST = re.compile(
    rf"^(?:FAIL|ERROR): \w+ \(({_UNIT_TEST})\)", re.MULTILINE
)
_FAILING_FIXTURE = re.compile(r"^(?:FAIL|ERROR): (?!\w+ \(tests\.)", re.MULTILINE)
_SCENARIO_START = re.compile(r"^(?=\s*Scenario: )", re.MULTILINE)
_FAILED_STEP = re.compile(r" \.\.\. (failed|error) in ")


def main() -> int:
    """Return 0 if only listed tests failed."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["--unit"]:
        return run_unit_tests(arguments[1:])
    return run_scenarios(arguments or ["tests/features"])


def run_scenarios(paths: list[str]) -> int:
    """Run scenarios and print the steps of those that failed."""
    with tempfile.NamedTemporaryFile("r", suffix=".txt") as details:
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["--format", "plain", "--outfile", details.name]
        command += ["--format", "progress"]
        run = subprocess.run([*command, *paths], stdout=subprocess.PIPE, text=True)
        print(run.stdout, end="")
        if run.returncode == 0:
            return 0
        # Print the failed step and its message: a failure that does not occur again can
        # only be traced from them.
        for scenario in _SCENARIO_START.split(details.read()):
            if _FAILED_STEP.search(scenario):
                print(scenario)
    # Matches both sections of the summary: failed scenarios and those with errors.
    failing = set(_FAILING_SCENARIO.findall(run.stdout))
    return _judge(failing, listed(_SCENARIO), run.returncode)


def run_unit_tests(names: list[str]) -> int:
    """Run unit and functional tests and print the output of the runner."""
    command = [sys.executable, "-m", "nose2", "--start-dir", "tests"]
    command += ["--top-level-directory", ".", *names]
    run = subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    print(run.stdout, end="")
    if run.returncode == 0:
        return 0
    failing = set(_FAILING_UNIT_TEST.findall(run.stdout))
    if _FAILING_FIXTURE.search(run.stdout):
        # A module or a class that could not be set up is never a listed test.
        failing.add("set-up or import of tests")
    return _judge(failing, listed(_UNIT_TEST), run.returncode)


def listed(pattern: str) -> set[str]:
    """Return the tests that KNOWN-RED.txt names in the form of a pattern."""
    if not KNOWN_RED_FILE.exists():
        return set()
    return set(re.findall(pattern, KNOWN_RED_FILE.read_text()))


def _judge(failing: set[str], known: set[str], returncode: int) -> int:
    for test in sorted(failing):
        print(f"{'known red' if test in known else 'RED'}: {test}")
    return 0 if failing and failing <= known else returncode


if __name__ == "__main__":
    sys.exit(main())
