"""Turn failures of calls into `application/problem+json` responses (RFC 9457)."""

import json
import random
from functools import singledispatch

from dogwoodshed._internal.exceptions import (
    CallError,
    HeldOffError,
    UpstreamRefusedError,
)
from dogwoodshed._internal.proxy import headers
from dogwoodshed._internal.proxy.caller_responses import BufferedResponse

_RETRY_STATUSES = frozenset({429, 503})
# A burst or a slow phase of an upstream lasts longer than one service time. Callers
# wait for at most a third of their remaining time, which is often less than half a
# second.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 0.3
# An upstream that refused a call often accepts the next one, and the most urgent
# callers have about 100 ms to spare. The spread separates callers that were refused
# together.
MIN_RETRY_AFTER_REFUSED_S = 0.0
MAX_RETRY_AFTER_REFUSED_S = 0.04


@singledispatch
def retry_delay(error: CallError) -> float:
    """Return the number of seconds after which a caller should retry.

    Delays are random, so that callers refused together do not retry together.
    """
    return random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)


@retry_delay.register
def _(error: UpstreamRefusedError) -> float:
    return random.uniform(MIN_RETRY_AFTER_REFUSED_S, MAX_RETRY_AFTER_REFUSED_S)


@retry_delay.register
def _(error: HeldOffError) -> float:
    return error.retry_after + random.uniform(
        MIN_RETRY_AFTER_REFUSED_S, MAX_RETRY_AFTER_REFUSED_S
    )


def problem_response(error: CallError) -> BufferedResponse:
    """Build the response that states how a call failed and whether it ran."""
    body = {
        "type": "about:blank",
        "title": error.title,
        "status": error.status,
        "detail": str(error),
        "ran": error.ran,
    }
    response_headers = {headers.RAN: error.ran}
    if error.status in _RETRY_STATUSES:
        response_headers["Retry-After"] = f"{retry_delay(error):.2f}"
    return BufferedResponse(
        status=error.status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
        headers=response_headers,
    )
