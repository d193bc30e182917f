"""Turn failures of calls into `application/problem+json` answers (RFC 9457)."""

import json

from dogwoodshed._internal.exceptions import CallError
from dogwoodshed._internal.proxy import headers
from dogwoodshed._internal.proxy.responses import WholeResponse


def problem_response(error: CallError) -> WholeResponse:
    """Build the answer that tells a caller whether its request ran."""
    body = {
        "type": "about:blank",
        "title": error.title,
        "status": error.status,
        "detail": str(error),
        "ran": error.ran,
    }
    return WholeResponse(
        status=error.status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
        headers={headers.RAN: error.ran},
    )
