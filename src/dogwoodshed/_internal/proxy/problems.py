"""Turn failures of calls into `application/problem+json` answers (RFC 9457)."""

import json

from aiohttp import web

from dogwoodshed._internal.exceptions import CallError
from dogwoodshed._internal.proxy import headers


def problem_response(error: CallError) -> web.Response:
    """Build the answer that tells a caller whether its request ran."""
    body = {
        "type": "about:blank",
        "title": error.title,
        "status": error.status,
        "detail": str(error),
        "ran": error.ran,
    }
    return web.Response(
        status=error.status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
        headers={headers.RAN: error.ran},
    )
