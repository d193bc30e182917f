"""Steps on gateways that are killed, paused and woken."""

import asyncio
import signal

from behave import given, step, then, when

from tests.lib.running_fleet import SERVICE, RunningFleet


@given("{count:d} gateways that take a silent one for dead after {limit:d} seconds")
def start_patient_gateways(context, count, limit):
    running = context.running = RunningFleet.from_context(context)
    running.run(running.start(count, mesh={"dead_after_s": limit}))
    _check_live(running, set(range(count)), range(count), True, 5.0)


@given("{count:d} gateways whose settings name no other gateway")
def start_unacquainted_gateways(context, count):
    running = context.running = RunningFleet.from_context(context)
    # All but the last reach the platform over a link that can be cut.
    linked = range(count - 1)
    running.run(running.start(count, mesh={"peers": []}, platform_link_for=linked))


@when("the host list names all gateways")
def publish_gateways(context):
    context.running.run(context.running.publish_gateways())


@then("every gateway knows within {bound:g} seconds that all others are live")
def check_all_live(context, bound):
    everyone = set(range(len(context.running.fleet.gateways)))
    _check_live(context.running, everyone, everyone, True, bound)


@given(
    "{count:d} gateways, {delay:d} ms apart, and {upstreams:d} upstreams that serve by "
    "text 1"
)
def start_distant_gateways(context, count, delay, upstreams):
    running = context.running = RunningFleet.from_context(context)
    settings = {"with_links": True, "link_delay_s": delay / 1000}
    running.run(running.start(count, upstreams=upstreams, **settings))


@when("the process of gateway {number:d} is killed")
def kill(context, number):
    context.running.run(context.running.fleet.gateways[number].kill())


@when("gateway {number:d} is paused")
def pause(context, number):
    gateways = context.running.fleet.gateways
    _check_live(context.running, set(range(len(gateways))), [number], True, 5.0)
    gateways[number].send_signal(signal.SIGSTOP)


@when("gateway {number:d} wakes")
def wake(context, number):
    context.running.fleet.gateways[number].send_signal(signal.SIGCONT)


@when("{calls:d} calls wait at gateway {number:d} while it wakes")
def call_and_wake(context, calls, number):
    running = context.running
    gateway = running.fleet.gateways[number]

    async def call():
        before = await running.count_requests(0)
        waiting = [
            asyncio.ensure_future(running.call(gateway, SERVICE)) for _ in range(calls)
        ]
        # The kernel accepts the connections for the paused process.
        await asyncio.sleep(0.2)
        gateway.send_signal(signal.SIGCONT)
        return await asyncio.gather(*waiting), await running.count_requests(0) - before

    context.waiting_calls = running.run(call())


@then("all waiting calls are answered and none reached upstream 0")
def check_waiting(context):
    statuses, reached = context.waiting_calls
    assert set(statuses) == {200}, statuses
    assert reached == 0, reached


@step(
    "the other gateways know within {bound:g} seconds that gateway {number:d} is "
    "{state}"
)
def check_state(context, bound, number, state):
    others = set(range(len(context.running.fleet.gateways))) - {number}
    _check_live(context.running, others, [number], state == "live", bound)


@then("gateway {number:d} knows within {bound:g} seconds that all others are live")
def check_others(context, number, bound):
    others = set(range(len(context.running.fleet.gateways))) - {number}
    _check_live(context.running, {number}, others, True, bound)


def _check_live(running, knowing, subjects, live, bound):
    gateways = running.fleet.gateways

    def last_word(knower, subject):
        lines = gateways[knower].log_text.splitlines()
        words = [line for line in lines if f"gateway g{subject:02d} is " in line]
        return "".join(words[-1:]).rpartition(" is ")[2]

    def all_know():
        return all(
            (last_word(knower, subject) == "live") == live
            for knower in knowing
            for subject in subjects
            if knower != subject
        )

    assert running.run(running.wait_for(all_know, bound)), [
        (knower, subject, last_word(knower, subject))
        for knower in knowing
        for subject in subjects
    ]
