"""One unreadable entry in the store keeps configurations from most gateways."""

import asyncio
import itertools
import time
from collections import Counter

from harness.client import Answer
from harness.deployment import Deployment, main, route
from harness.gateways import BOUNDS, Gateway

GATEWAYS = 18
CHANGES = 12
INTERVAL_S = 5.2
APPLY_S = BOUNDS["config_apply_ms"] / 1000
ASK_EVERY_S = 0.2
# What another writer left: the name of its service, cut in the middle of a character
# that JSON writes as two escapes. The service is none of the operator's.
# It writes every heartbeat_ms, as targets do.
HEARTBEAT_S = 1.5
FOREIGN_KEY = "servers/i-foreign"
FOREIGN_ENTRY = {
    "service": "ballroom-\ud83d",
    "address": "127.0.0.1:9",
    "zone": "lima-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
}


async def write_foreign_entry(deployment: Deployment) -> None:
    """Write the foreign entry every heartbeat; a field beside `sequence` changes."""
    for sequence in itertools.count(1):
        entry = {
            **FOREIGN_ENTRY,
            "sequence": sequence,
            "cold_left_ms": max(0, 120_000 - 1500 * sequence),
        }
        await deployment.store.put(FOREIGN_KEY, entry)
        await asyncio.sleep(HEARTBEAT_S)


async def ask(
    deployment: Deployment, gateway: Gateway, number: int, ids: itertools.count
) -> list[Answer]:
    """Ask a gateway for the route that was just added, until the next change."""
    answers = []
    ends_at = time.monotonic() + INTERVAL_S - 0.5
    while time.monotonic() < ends_at:
        path = f"/new{number}/a"
        answers.append(await deployment.send(gateway, f"r{next(ids)}", path))
        await asyncio.sleep(ASK_EVERY_S)
    return answers


def note_gateways(
    deployment: Deployment, answers: list[Answer], acknowledged_at: float
) -> int:
    """Note when each gateway served a new route; count the late refusals."""
    late = [
        a for a in answers if a.status == 404 and a.sent_at > acknowledged_at + APPLY_S
    ]
    for name in sorted({a.gateway for a in answers}):
        served = [a.sent_at for a in answers if a.gateway == name and a.status == 200]
        first = f"{min(served) - acknowledged_at:.2f} s" if served else "never"
        refused = sum(a.gateway == name for a in late)
        deployment.note(
            f"{name}: first served after {first};"
            f" {refused} requests answered 404 that were sent later than"
            " config_apply_ms after the ack"
        )
    return len(late)


async def play(deployment: Deployment) -> bool:
    """Return whether requests on an added route were refused after config_apply_ms."""
    await deployment.add_target("i-1", "profiles", slots=8, work_s=0.01)
    await deployment.add_target("i-2", "profiles", slots=8, work_s=0.01)
    routes = [route("read", "/read/", "profiles")]
    await deployment.configure(*routes)
    await deployment.start_gateways(GATEWAYS)
    await asyncio.sleep(3.5)
    if deployment.trouble:
        writer = asyncio.create_task(write_foreign_entry(deployment))
        deployment.note(f"another writer writes {FOREIGN_ENTRY!a}, every heartbeat_ms")
    await asyncio.sleep(3.5)
    ids = itertools.count(1)
    late = 0
    for number in range(CHANGES):
        routes.append(route(f"new{number}", f"/new{number}/", "profiles"))
        acknowledged_at = await deployment.configure(*routes)
        answers = await asyncio.gather(
            *(ask(deployment, gateway, number, ids) for gateway in deployment.gateways)
        )
        flat = list(itertools.chain(*answers))
        statuses = dict(Counter(answer.status for answer in flat))
        deployment.note(f"change {number}: {len(flat)} requests, statuses {statuses}")
        late += note_gateways(deployment, flat, acknowledged_at)
        await asyncio.sleep(0.5)
    if deployment.trouble:
        writer.cancel()
    deployment.note(f"{late} requests refused after config_apply_ms")
    for gateway in deployment.gateways:
        text = gateway.log_path.read_text(errors="replace")
        deployment.note(
            f"{gateway.name}: {text.count('UnicodeEncodeError')} encoding errors logged"
        )
    return late > 0


if __name__ == "__main__":
    main(__file__, play)
