"""Steps for validating a configuration."""

import json
import subprocess
import sys
import tempfile

from behave import given, then, when

from tests.lib import builders


@given('a configuration text with an unknown key "{key}"')
def write_text(context, key):
    text = json.dumps(builders.configuration_document(**{key: 1}), indent=1)
    with tempfile.NamedTemporaryFile("w", suffix=".jsonc", delete=False) as file:
        file.write(text)
    context.configuration_text = text
    context.path = file.name


@when("the operator checks the text")
def run_check(context):
    context.result = subprocess.run(
        [sys.executable, "-m", "dogwoodshed", "check", context.path],
        capture_output=True,
        text=True,
        check=False,
    )


@then("the exit code is {code:d}")
def check_exit_code(context, code):
    assert context.result.returncode == code, context.result


@then('the message names the key "{key}" and its line')
def check_message(context, key):
    lines = context.configuration_text.splitlines()
    line_number = next(i for i, line in enumerate(lines, 1) if f'"{key}"' in line)
    assert f":{line_number}: {key}:" in context.result.stderr, context.result.stderr
