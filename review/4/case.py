"""A hub stands still while a target leaves: its data centre uses the target on."""

import asyncio
import itertools
import re
import signal
import time

from harness.deployment import Deployment, main, route
from harness.gateways import BOUNDS, Gateway

GATEWAYS = 12
ZONE = "lima-c"
FREEZE_S = 3.5
DRAIN_S = BOUNDS["drain_ms"] / 1000
# The target serves for drain_ms and "a little longer", and then exits.
EXIT_AFTER_S = DRAIN_S + 0.25
CALLERS_PER_GATEWAY = 5
LEAVING = "i-leaving"


def hub_of(gateways: list[Gateway]) -> Gateway:
    """Return the gateway that the others of a data centre let place their calls."""
    names = []
    for gateway in gateways:
        text = gateway.log_path.read_text(errors="replace")
        names += re.findall(r" by (front-\d+)", text)[-3:]
    name = max(set(names), key=names.count)
    return next(gateway for gateway in gateways if gateway.name == name)


async def call_until(
    deployment: Deployment, gateway: Gateway, ends_at: float, ids: itertools.count
) -> None:
    """Send requests one after the other; every third may run only once."""
    while time.monotonic() < ends_at:
        number = next(ids)
        unsafe = number % 3 == 0
        answer = await deployment.send(
            gateway,
            f"r{number}",
            "/write/a" if unsafe else "/read/a",
            method="POST" if unsafe else "GET",
            body=b"order" if unsafe else b"",
        )
        if answer.status == 503:
            await asyncio.sleep(float(answer.headers.get("retry-after", 0)))


async def play(deployment: Deployment) -> bool:
    """Return whether the leaving target got requests after drain_ms."""
    for target_id in ("i-1", "i-2", LEAVING):
        await deployment.add_target(target_id, "profiles")
    await deployment.configure(
        route("read", "/read/", "profiles"),
        route("write", "/write/", "profiles", route_type="unsafe"),
    )
    await deployment.start_gateways(GATEWAYS)
    zone = [gateway for gateway in deployment.gateways if gateway.zone == ZONE]
    ids = itertools.count(1)
    # Calm time, in which the hub is known and every machine comes into touch.
    warm_until = time.monotonic() + 4.0
    await asyncio.gather(*(call_until(deployment, g, warm_until, ids) for g in zone))
    hub = hub_of(zone)
    callers_of = [g for g in zone if g is not hub] * CALLERS_PER_GATEWAY
    ends_at = time.monotonic() + 6.0
    calls = [
        asyncio.create_task(call_until(deployment, g, ends_at, ids)) for g in callers_of
    ]
    await asyncio.sleep(1.0)
    if deployment.trouble:
        hub.signal(signal.SIGSTOP)
        deployment.note(f"{hub.name}, the hub of {ZONE}, stands still")
    target = deployment.targets[LEAVING]
    acknowledged_at = await deployment.store.delete(target.key)
    deployment.note(f"store acknowledges that {LEAVING} is gone", acknowledged_at)
    await asyncio.sleep(EXIT_AFTER_S)
    target.stop()
    deployment.note(f"{LEAVING} exits")
    await asyncio.sleep(FREEZE_S - EXIT_AFTER_S)
    hub.signal(signal.SIGCONT)
    deployment.note(f"{hub.name} runs")
    await asyncio.gather(*calls)
    by_id = {answer.request_id: answer for answer in deployment.answers}
    after_ack = [
        a for a in deployment.arrivals if a.target == LEAVING and a.at > acknowledged_at
    ]
    late = [a for a in after_ack if a.at > acknowledged_at + DRAIN_S]
    for arrival in late:
        answer = by_id[arrival.request_id]
        deployment.note(
            f"{arrival.line} ({arrival.request_id}) reaches {LEAVING}"
            f" {arrival.at - acknowledged_at:.3f} s after the ack, from"
            f" {answer.gateway}, which got it at"
            f" {answer.sent_at - acknowledged_at:.3f} s; the caller gets"
            f" {answer.status or 'no answer'}",
            arrival.at,
        )
    last = max((a.at for a in after_ack), default=acknowledged_at)
    deployment.note(
        f"{len(deployment.answers)} requests; {len(after_ack)} reached {LEAVING}"
        f" after the ack, the last one {last - acknowledged_at:.3f} s after it;"
        f" {len(late)} later than drain_ms"
    )
    for gateway in zone:
        if gateway is not hub:
            deployment.note_log(gateway, LEAVING + "', revision", "silent or leaving")
    return bool(late)


if __name__ == "__main__":
    main(__file__, play)
