"""Steps on the daily report."""

import asyncio
import signal
from collections import Counter

from behave import given, then, when

from dogwoodshed._internal.standins.caller import Callers, Flow
from tests.lib.scenario import (
    disabled_features,
    find_gateway,
    get_json,
    publish_services,
    run,
    start_loop,
    wait_for,
)

# Two upstreams with two slots of 40 ms serve 100 calls a second; the flood sends 200.
BEHAVIOUR = {"slots": 2, "mean_ms": 40.0, "queue_limit": 40}
FLOOD_RATE = 200.0


@given("{count:d} gateways whose report minutes last 1 second")
def start_fleet(context, count):
    start_loop(context)

    async def start():
        await publish_services(context.fleet, "profiles", "stage", behaviour=BEHAVIOUR)
        await context.fleet.start_gateways(
            count,
            routing="least_in_flight",
            reporting={"minute_s": 1.0},
            features=disabled_features(context),
        )

    run(context, start())


@given(
    "callers who send for {duration:g} seconds with seed {seed:d}, "
    "with a bulk flood from second {start:g} to {end:g}"
)
def start_callers(context, duration, seed, start, end):
    flows = [
        Flow("read", "normal", "GET", "/profiles/1", 25.0),
        Flow("write", "urgent", "POST", "/profiles/1", 15.0, keyed=True),
        Flow("stage", "normal", "GET", "/stage/1", 30.0),
        Flow(
            "flood", "bulk", "PUT", "/profiles/1", FLOOD_RATE, start_s=start, end_s=end
        ),
    ]
    context.callers = Callers([g.address for g in context.fleet.gateways])

    async def begin():
        context.sending = asyncio.create_task(
            context.callers.run(flows, duration, seed)
        )

    run(context, begin())


@when('host "{name}" is killed while callers use it')
def kill_host(context, name):
    gateway = find_gateway(context, name)

    async def kill():
        async def has_closed_minutes():
            status = await get_json(context, gateway, "/status")
            context.killed_status = status
            return status["counters"].get("report.minutes_closed", 0) >= 4

        await wait_for(has_closed_minutes, f"4 closed minutes of {name}")
        gateway.send_signal(signal.SIGKILL)
        await gateway.wait()

    run(context, kill())
    assert not context.sending.done()


@when('host "{name}" is stopped as planned while callers use it')
def stop_host(context, name):
    gateway = find_gateway(context, name)
    gateway.send_signal(signal.SIGTERM)
    assert run(context, gateway.wait()) == 0
    assert not context.sending.done()


@when("the callers have finished")
def finish_callers(context):
    async def finish():
        await context.sending

    run(context, finish())
    assert not any(result.mixed_up for result in context.callers.results)


@then("every remaining host gives the same report")
def compare_reports(context):
    last = max(int(result.ended_wall) for result in context.callers.results)
    remaining = [g for g in context.fleet.gateways if g.running]

    async def complete_report(gateway):
        async def get():
            report = await get_json(context, gateway, "/report?format=json")
            names = {g.id for g in remaining}
            complete = all(
                not entry["holes"]
                for entry in report["coverage"]["gateways"]
                if entry["gateway"] in names
            )
            return report if complete and report["until_minute"] > last else None

        return await wait_for(get, f"a report of {gateway.id} up to the last call")

    async def reports():
        return [await complete_report(gateway) for gateway in remaining]

    first, *others = run(context, reports())
    context.report = first
    # The short windows move on between two requests; the counts do not.
    for other in others:
        for row, other_row in zip(first["rows"], other["rows"], strict=True):
            for name in ("service", "rank", "calls", "in_time", "not_run", "unknown"):
                assert row[name] == other_row[name], (row, other_row)


@then("its counts equal the callers' counts, less what it names as not covered")
def compare_counts(context):
    entries = {e["gateway"]: e for e in context.report["coverage"]["gateways"]}
    min_counts, max_counts = Counter(), Counter()
    for result in context.callers.results:
        gateway = f"g{result.gateway:02d}"
        if result.status == 0 and result.ran == "no":
            continue  # no gateway accepted the connection
        holes = entries[gateway]["holes"]
        minutes = range(int(result.started_wall), int(result.ended_wall) + 1)
        missing = [
            any(hole["first"] <= minute <= hole["last"] for hole in holes)
            for minute in minutes
        ]
        service = "stage" if result.flow == "stage" else "profiles"
        for key in (gateway, (service, result.rank)):
            # Calls at the edge of a hole or cut off by the kill may be counted or not.
            max_counts[key] += not all(missing)
            min_counts[key] += not any(missing) and result.status != 0
    counted = {name: entry["calls"] for name, entry in entries.items()}
    counted |= {(r["service"], r["rank"]): r["calls"] for r in context.report["rows"]}
    for key in max_counts:
        assert min_counts[key] <= counted[key] <= max_counts[key], (
            key,
            min_counts[key],
            counted[key],
            max_counts[key],
        )
    # A connection that closes at a stop can cut off a call that the gateway never
    # read, so the bounds are exact only for gateways that kept running.
    kept_running = [gateway.id for gateway in context.fleet.gateways if gateway.running]
    assert len(kept_running) >= 3, entries
    assert all(min_counts[name] == max_counts[name] for name in kept_running), (
        min_counts,
        max_counts,
    )


@then(
    'it covers every minute of "{name}" that peers had acknowledged, and names the rest'
)
def check_killed_host(context, name):
    acknowledged = context.killed_status["counters"].get(
        "report.minutes_acknowledged", 0
    )
    assert acknowledged > 0, "peers acknowledged no minute of the killed host"
    (entry,) = (
        e for e in context.report["coverage"]["gateways"] if e["gateway"] == name
    )
    assert entry["covered"] >= acknowledged, (entry, acknowledged)
    assert entry["holes"][-1]["last"] == context.report["until_minute"] - 1, entry
    assert len(entry["holes"]) == 1, entry


@then('it covers every minute of "{name}" up to its stop')
def check_stopped_host(context, name):
    (entry,) = (
        e for e in context.report["coverage"]["gateways"] if e["gateway"] == name
    )
    assert entry["calls"] > 0 and not entry["holes"], entry


@then(
    "its first line says that callers were not served well, "
    "and names the flooded service"
)
def check_first_line(context):
    line = context.report["summary"]
    assert line.startswith("Today did not go well for callers of profiles"), line
    assert "host-minutes covered" in line, line
    (row,) = (r for r in context.report["rows"] if r["rank"] == "bulk")
    assert not row["met"] and row["worst"], row
