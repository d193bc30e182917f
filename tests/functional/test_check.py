"""Test the check command on valid and invalid configuration files."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple

EXAMPLES = Path(__file__).parents[2] / "examples"

# Each invalid document differs from this one in a single line.
VALID = """\
{
  "fleet": "test",
  "ranks": [
    { "name": "urgent", "floor_percent": 20 },
    { "name": "normal", "floor_percent": 20 },
    { "name": "bulk", "floor_percent": 10 }
  ],
  "services": [
    {
      "name": "profiles",
      "path_prefix": "/profiles",
      "depends_on": ["billing"],
      "slots_per_upstream": 2,
      "upstreams": [
        { "address": "10.1.0.1:80", "data_centre": "lima-1" }
      ],
      "kinds": [
        // Reads are urgent.
        { "name": "read", "path": "/profiles", "rank": "urgent", "idempotent": true,
          "time_limit_ms": 150 }
      ]
    },
    {
      "name": "billing",
      "path_prefix": "/billing",
      "slots_per_upstream": 2,
      "discover": "billing",
      "kinds": [
        { "name": "charge", "path": "/billing", "rank": "urgent", "idempotent": false,
          "time_limit_ms": 1000 }
      ]
    }
  ]
}
"""


class InvalidDocument(NamedTuple):
    """A document with one error: the replaced line and the expected report."""

    name: str
    line: int
    replacement: str
    key: str
    problem: str
    # The reported line if it differs from the replaced one.
    reported_line: int = 0


INVALID_DOCUMENTS = (
    InvalidDocument("syntax error", 13, '"slots_per_upstream" 2,', "syntax", ""),
    InvalidDocument(
        "unknown key",
        2,
        '"fleet": "test", "colour": "red",',
        "colour",
        "unknown key; expected no such key",
    ),
    InvalidDocument(
        "missing key",
        10,
        "",
        "services[0].name",
        "missing key; expected a value",
        reported_line=9,
    ),
    InvalidDocument(
        "wrong type",
        13,
        '"slots_per_upstream": "two",',
        "services[0].slots_per_upstream",
        "got 'two'; expected a valid integer",
    ),
    InvalidDocument(
        "wrong range",
        20,
        '"time_limit_ms": 0 }',
        "services[0].kinds[0].time_limit_ms",
        "got 0; expected greater than 0",
    ),
    InvalidDocument(
        "unknown rank",
        19,
        '{ "name": "read", "path": "/profiles", "rank": "soon", "idempotent": true,',
        "services[0].kinds[0].rank",
        "unknown rank 'soon'; expected one of bulk, normal, urgent",
    ),
    InvalidDocument(
        "dangling dependency",
        12,
        '"depends_on": ["bills"],',
        "services[0].depends_on[0]",
        "unknown service 'bills'; expected a service's name",
    ),
    InvalidDocument(
        "dependency cycle",
        26,
        '"slots_per_upstream": 2, "depends_on": ["profiles"],',
        "services[0].depends_on",
        "cycle profiles -> billing -> profiles; expected no cycle",
        reported_line=12,
    ),
    InvalidDocument(
        "duplicate name",
        5,
        '{ "name": "urgent", "floor_percent": 20 },',
        "ranks[1].name",
        "'urgent' is used twice; expected a unique value",
    ),
    InvalidDocument(
        "duplicate key",
        26,
        '"slots_per_upstream": 2, "slots_per_upstream": 3,',
        "services[1].slots_per_upstream",
        "repeated key; expected each key once",
    ),
    InvalidDocument(
        "bad address",
        15,
        '{ "address": "10.1.0.1", "data_centre": "lima-1" }',
        "services[0].upstreams[0].address",
        "got '10.1.0.1'; expected ",
    ),
    InvalidDocument(
        "floors over 100 percent",
        4,
        '{ "name": "urgent", "floor_percent": 80 },',
        "ranks",
        "floors add up to 110 percent; expected at most 100",
        reported_line=3,
    ),
)


def run_check(path: Path) -> subprocess.CompletedProcess[str]:
    """Run the check command on a file."""
    return subprocess.run(
        [sys.executable, "-m", "dogwoodshed", "check", str(path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


class CheckTest(unittest.TestCase):
    def test_file_that_cannot_be_read(self):
        """Guards against a message without the file, and against another exit code."""
        path = Path("/nonexistent/services.jsonc")
        result = run_check(path)
        self.assertEqual(result.returncode, 2)
        self.assertEqual(
            result.stderr.strip(),
            f"{path}: cannot be read: No such file or directory",
        )

    def test_reports_only_the_error_with_its_line(self):
        """Guards against a wrong line, a missed error and consequential errors."""
        with tempfile.TemporaryDirectory() as directory:
            for invalid in INVALID_DOCUMENTS:
                with self.subTest(invalid.name):
                    lines = VALID.splitlines()
                    lines[invalid.line - 1] = invalid.replacement
                    path = Path(directory, "text.jsonc")
                    path.write_text("\n".join(lines), encoding="utf-8")
                    result = run_check(path)
                    line = invalid.reported_line or invalid.line
                    prefix = f"{path}:{line}: {invalid.key}: {invalid.problem}"
                    self.assertEqual(result.returncode, 2)
                    self.assertEqual(result.stdout, "")
                    self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
                    self.assertTrue(result.stderr.startswith(prefix), result.stderr)

    def test_reports_the_line_that_is_not_utf8(self):
        """Guards against a traceback for a file in another encoding."""
        with tempfile.NamedTemporaryFile(suffix=".jsonc") as file:
            file.write(b"{\n  // caf\xe9\n}")
            file.flush()
            command = [sys.executable, "-m", "dogwoodshed", "check", file.name]
            result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        self.assertEqual(result.returncode, 2)
        self.assertIn(f"{file.name}:2: syntax: not UTF-8", result.stderr)

    def test_accepts_valid_files(self):
        """Guards against examples that the command rejects."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "text.jsonc")
            path.write_text(VALID, encoding="utf-8")
            for valid in (path, *sorted(EXAMPLES.glob("*.jsonc"))):
                with self.subTest(valid.name):
                    result = run_check(valid)
                    self.assertEqual(result.stderr, "")
                    self.assertEqual(result.returncode, 0)


if __name__ == "__main__":
    unittest.main()
