"""Steps for the administration API."""

import asyncio
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from dogwoodshed._internal.standins.caller import Callers, Flow
from tests.lib.scenario import (
    find_gateway,
    publish_services,
    run,
    start_loop,
    wait_for,
)

PROGRAM = (sys.executable, "-m", "dogwoodshed")
TOKEN = "a-token-of-the-test-only"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}


def request(context, method, path, gateway="g00", headers=HEADERS, **options):
    """Return status, content type and body of an administration API response."""

    async def send():
        url = f"http://{find_gateway(context, gateway).administration_address}{path}"
        async with context.fleet.session.request(
            method, url, headers=headers, **options
        ) as response:
            return response.status, response.content_type, await response.text()

    return run(context, send())


def run_command(context, *arguments, token=True):
    """Run a command for gateway g00 and return the finished process."""
    gateway = find_gateway(context, "g00").administration_address
    options = ["--token-file", context.token_file] if token else []
    return subprocess.run(
        [*PROGRAM, *arguments, "--gateway", gateway, *options],
        capture_output=True,
        text=True,
        check=False,
    )


def send_calls(context, count=40):
    """Send calls to g00 and return how many of them each upstream ran."""

    async def send():
        before = await context.fleet.upstream_states("profiles")
        gateway = find_gateway(context, "g00")
        flow = Flow("read", "normal", "GET", "/profiles/1", 200.0)
        callers = Callers([gateway.address])
        await callers.run([flow], count / 200, seed=3)
        after = await context.fleet.upstream_states("profiles")
        assert all(result.succeeded for result in callers.results), callers.results
        return {
            new["address"]: sum(new["runs"].values()) - sum(old["runs"].values())
            for old, new in zip(before, after, strict=True)
        }

    return run(context, send())


@given("a fleet of {count:d} gateways with a token")
def start_fleet(context, count):
    start_loop(context)
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    token_file = Path(directory.name) / "token"
    token_file.write_text(TOKEN + "\n", encoding="ascii")
    context.token_file = str(token_file)

    async def start():
        fleet = context.fleet
        await publish_services(fleet, "profiles", count=3, behaviour={"mean_ms": 1.0})
        await fleet.start_gateways(
            count,
            routing="round_robin",
            administration={"token_file": context.token_file},
            reporting={"minute_s": 1.0},
        )

    run(context, start())


@when('the operator asks gateway "{name}" for its health, readiness, status and report')
def request_all(context, name):
    send_calls(context)

    async def calls_are_reported():
        report = await asyncio.to_thread(run_command, context, "report", "--json")
        return json.loads(report.stdout)["calls"] > 0

    run(context, wait_for(calls_are_reported, "a report with calls"))
    paths = ("/health", "/ready", "/status", "/report")
    context.responses = {path: request(context, "GET", path, name) for path in paths}


@then("each answer is complete, and the report comes as text, JSON and HTML")
def check_responses(context):
    assert all(status == 200 for status, _, _ in context.responses.values())
    status = json.loads(context.responses["/status"][2])
    assert status["ready"] and status["platform_reachable"], status
    assert status["configuration"]["revision"] > 0, status
    assert status["configuration"]["digest"], status
    (peer,) = status["peers"]
    assert peer["live"] and peer["sent_bytes"] and peer["received_bytes"], peer
    assert len(status["upstreams"]) == 3, status
    assert status["counters"]["calls.profiles.read.yes"] > 0, status
    text = context.responses["/report"]
    assert text[1] == "text/plain" and text[2].startswith("Today"), text
    for accept in ("application/json", "text/html"):
        headers = {**HEADERS, "Accept": accept}
        response = request(context, "GET", "/report", headers=headers)
        assert response[:2] == (200, accept), response
    html = request(context, "GET", "/report?format=html")
    assert html[1] == "text/html" and "<svg" in html[2], html
    assert request(context, "GET", "/report?format=pdf")[0] == 406


@then("without the token only health and readiness are answered")
def check_token(context):
    for headers in ({}, {"Authorization": f"Bearer {TOKEN[:-1]}x"}):
        for path, expected in (
            ("/health", 200),
            ("/ready", 200),
            ("/status", 401),
            ("/report", 401),
        ):
            status = request(context, "GET", path, headers=headers)[0]
            assert status == expected, (path, status)
        options = {"json": {"self": True}, "headers": headers}
        assert request(context, "POST", "/drain", **options)[0] == 401


@then(
    'the commands "status" and "report" print the same with the token and fail without'
)
def check_commands(context):
    status = run_command(context, "status")
    assert status.returncode == 0 and "Gateway g00" in status.stdout, status
    report = run_command(context, "report")
    assert report.returncode == 0 and report.stdout.startswith("Today"), report
    html = run_command(context, "report", "--html")
    assert html.returncode == 0 and html.stdout.startswith("<!DOCTYPE"), html
    for name in ("status", "report"):
        refused = run_command(context, name, token=False)
        assert refused.returncode == 1 and "401" in refused.stderr, refused


@when('the operator drains an upstream of "{service}" at "{name}"')
def drain_upstream(context, service, name):
    context.drained = context.fleet.upstreams[service][0]
    result = run_command(context, "drain", context.drained)
    assert result.returncode == 0 and "draining" in result.stdout, result


@then("its status says why the upstream is out")
def check_drain_reason(context):
    status = json.loads(request(context, "GET", "/status")[2])
    reasons = {entry["address"]: entry["out"] for entry in status["upstreams"]}
    assert reasons.pop(context.drained) and not any(reasons.values()), status[
        "upstreams"
    ]


@then('calls to "{name}" reach only the other upstreams of "{service}"')
def check_drained(context, name, service):
    call_counts = send_calls(context)
    assert call_counts.pop(context.drained) == 0 and all(call_counts.values()), (
        call_counts
    )


@when("the operator undoes the drain of the upstream")
def undrain_upstream(context):
    result = run_command(context, "drain", context.drained, "--undo")
    assert result.returncode == 0 and "back in service" in result.stdout, result


@then('calls to "{name}" reach every upstream of "{service}"')
def check_undrained(context, name, service):
    call_counts = send_calls(context)
    assert all(call_counts.values()), call_counts


@when('the operator drains gateway "{name}" itself')
def drain_gateway(context, name):
    result = run_command(context, "drain", "--self")
    assert result.returncode == 0, result


@then('"{name}" is not ready and goes on answering callers')
def check_not_ready(context, name):
    assert request(context, "GET", "/ready", name)[0] == 503
    assert request(context, "GET", "/health", name)[0] == 200
    assert sum(send_calls(context).values()) > 0
    assert run_command(context, "drain", "--self", "--undo").returncode == 0
    assert request(context, "GET", "/ready", name)[0] == 200


@then("orders that name nothing known are refused")
def check_refusals(context):
    unknown = run_command(context, "drain", "127.0.0.1:9")
    assert unknown.returncode == 1 and "no service lists" in unknown.stderr, unknown
    for body in ("", "[]", '{"self": false}', '{"address": 1}', '{"other": 1}'):
        headers = {**HEADERS, "Content-Type": "application/json"}
        response = request(context, "POST", "/drain", headers=headers, data=body)
        assert response[0] == 400, (body, response)
    form = request(context, "POST", "/drain", data={"self": "true"})
    assert form[0] == 415, form
    assert request(context, "GET", "/drain")[0] == 405


@given("settings whose administration API listens beyond loopback without a token")
def write_settings(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.settings_file = Path(directory.name) / "settings.jsonc"
    settings = {
        "id": "g00",
        "host": "host-00",
        "data_centre": "dc-1",
        "listen": "127.0.0.1:0",
        "routing": "random",
        "administration": {"listen": "0.0.0.0:0"},
    }
    context.settings_file.write_text(json.dumps(settings), encoding="utf-8")


@when("the gateway is started")
def start_gateway(context):
    context.result = subprocess.run(
        [*PROGRAM, "gateway", "--settings", str(context.settings_file)],
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )


@then("it ends with exit code {code:d} and names the setting that lacks")
def check_refused_start(context, code):
    assert context.result.returncode == code, context.result
    assert "administration.token_file" in context.result.stderr, context.result
