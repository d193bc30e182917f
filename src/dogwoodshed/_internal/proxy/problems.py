"""Turn failures of calls into `application/problem+json` answers (RFC 9457)."""

import json
import random
from functools import singledispatch

from dogwoodshed._internal.exceptions import CallError, UpstreamRefusedError
from dogwoodshed._internal.proxy import headers
from dogwoodshed._internal.proxy.responses import WholeResponse

_RETRY_STATUSES = frozenset({429, 503})
# A burst or a slow spell of an upstream lasts longer than a service time; callers wait
# for at most a third of what they have left, which is often below half a second.
RETRY_AFTER_LEAST_S = 0.1
RETRY_AFTER_MOST_S = 0.3
# An upstream that refuses often takes the next call, and the most urgent callers have
# some 100 ms to spare; the spread keeps those refused together apart.
RETRY_REFUSED_LEAST_S = 0.0
RETRY_REFUSED_MOST_S = 0.04


@singledispatch
def retry_delay(error: CallError) -> float:
    """Return after how many seconds a caller should try again.

    Delays are spread, so that callers refused together do not return together.
    """
    return random.uniform(RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S)


@retry_delay.register
def _(error: UpstreamRefusedError) -> float:
    return random.uniform(RETRY_REFUSED_LEAST_S, RETRY_REFUSED_MOST_S)


def problem_response(error: CallError) -> WholeResponse:
    """Build the answer that tells a caller whether its request ran."""
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
    return WholeResponse(
        status=error.status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
        headers=response_headers,
    )
