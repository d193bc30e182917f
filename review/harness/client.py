"""Stand-in for a requester: one connection for each request."""

import asyncio
import time
from typing import NamedTuple

from harness.target import read_message

HOST = "shop.example"


class Answer(NamedTuple):
    """What a requester got; status 0 is a connection that ended without an answer."""

    request_id: str
    method: str
    path: str
    gateway: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict
    body: bytes


async def send(
    gateway,
    request_id: str,
    path: str,
    *,
    method: str = "GET",
    deadline_ms: int = 1000,
    body: bytes = b"",
) -> Answer:
    """Send a request and return the answer."""
    host, port = gateway.front.split(":")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Dogwoodshed-Request-Id: {request_id}",
        f"X-Dogwoodshed-Deadline-Ms: {deadline_ms}",
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    sent_at = time.monotonic()
    status, headers, answer = 0, {}, b""
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            line, headers, answer = await read_message(reader)
            status = int(line.split()[1])
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    ended_at = time.monotonic()
    return Answer(
        request_id,
        method,
        path,
        gateway.name,
        sent_at,
        ended_at,
        status,
        headers,
        answer,
    )
