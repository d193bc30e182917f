"""Define responses that reach callers as received from upstreams."""

from aiohttp import hdrs, web


class _WithoutOwnHeaders:
    """Mixin that adds no header except `Date`, as RFC 9110, section 6.6.1, requires."""

    async def _prepare_headers(self) -> None:
        # aiohttp's own values would describe this process, not the upstream. It has no
        # public switch; tests/functional/test_http_pitfalls.py fails if this hook is
        # removed.
        added = [
            name
            for name in (hdrs.SERVER, hdrs.CONTENT_TYPE)
            if name not in self._headers
        ]
        await super()._prepare_headers()
        for name in added:
            self._headers.popall(name, None)


class BufferedResponse(_WithoutOwnHeaders, web.Response):
    """Response whose body is buffered."""


class StreamedResponse(_WithoutOwnHeaders, web.StreamResponse):
    """Response whose body is forwarded as it arrives."""
