"""Entries that cannot be encoded: planned stops cut the requests in flight."""

import asyncio
import itertools
import signal
from collections import Counter

from harness.deployment import Deployment, main, route

GATEWAYS = 12
# Each round stops one machine.
ROUNDS = 4
# Requests that are at a target when their machine is stopped, and how long they take.
REQUESTS_PER_STOP = 6
WORK_S = 1.3
BEFORE_ENTRY_S = 0.15
# From the foreign entry to SIGTERM.
BEFORE_STOP_S = 0.05
DEADLINE_MS = 2500
# What another writer left: the name of its service, cut in the middle of a character
# that JSON writes as two escapes. The service is none of the operator's.
FOREIGN_ENTRY = {
    "service": "ballroom-\ud83d",
    "address": "127.0.0.1:9",
    "zone": "lima-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
}
# An entry that is not renewed expires after three heartbeats.
EXPIRY_S = 4.5
CALM_S = 4.0


async def stop_during_requests(
    deployment: Deployment, number: int, ids: itertools.count
) -> int:
    """Stop a gateway that has requests at a target; return how many got no answer."""
    gateway = next(
        gateway
        for gateway in deployment.gateways
        if deployment.store.waiting.get(gateway.store_address)
    )
    requests = [
        asyncio.create_task(
            deployment.send(
                gateway,
                f"order-{next(ids)}",
                "/orders/a",
                method="POST",
                body=b"cut",
                deadline_ms=DEADLINE_MS,
            )
        )
        for _ in range(REQUESTS_PER_STOP)
    ]
    await asyncio.sleep(BEFORE_ENTRY_S)
    key = f"servers/i-foreign-{number}"
    if deployment.trouble:
        await deployment.store.put(key, FOREIGN_ENTRY)
        deployment.note(f"another writer writes {key}: {FOREIGN_ENTRY!a}")
    await asyncio.sleep(BEFORE_STOP_S)
    gateway.signal(signal.SIGTERM)
    deployment.note(f"{gateway.name} gets SIGTERM")
    answers = await asyncio.gather(*requests)
    await gateway.process.wait()
    deployment.note(f"{gateway.name} has ended with {gateway.process.returncode}")
    await gateway.start()
    if deployment.trouble:
        await asyncio.sleep(EXPIRY_S)
        await deployment.store.delete(key)
    await gateway.wait_ready()
    reached = {arrival.request_id for arrival in deployment.arrivals if arrival.ran}
    lost = [a for a in answers if a.status == 0 and a.request_id in reached]
    for answer in lost:
        took = answer.ended_at - answer.sent_at
        deployment.note(
            f"{answer.request_id} ran, and its connection to {gateway.name} ended"
            f" {took:.2f} s after it was sent, without an answer"
        )
    statuses = dict(Counter(answer.status or "no answer" for answer in answers))
    deployment.note(f"{gateway.name}: {statuses}")
    return len(lost)


async def play(deployment: Deployment) -> bool:
    """Return whether requests that ran were cut by planned stops."""
    for number in range(3):
        await deployment.add_target(f"i-{number}", "orders", slots=8, work_s=WORK_S)
    await deployment.configure(
        route(
            "orders",
            "/orders/",
            "orders",
            route_type="unsafe",
            timeout_ms=DEADLINE_MS,
            slo_ms=2000,
        )
    )
    await deployment.start_gateways(GATEWAYS)
    ids = itertools.count(1)
    lost = 0
    for number in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        lost += await stop_during_requests(deployment, number, ids)
    deployment.note(f"{lost} requests that ran got no answer")
    return lost > 0


if __name__ == "__main__":
    main(__file__, play)
