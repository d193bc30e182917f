"""Define responses that reach callers as upstreams gave them."""

from aiohttp import hdrs, web


class _AsReceived:
    """Add no header but `Date`, which RFC 9110, section 6.6.1, asks for."""

    async def _prepare_headers(self) -> None:
        # The library's own values would describe this process, not the upstream. There
        # is no public switch; tests/functional/test_traps.py fails if this one goes.
        own = [
            name
            for name in (hdrs.SERVER, hdrs.CONTENT_TYPE)
            if name not in self._headers
        ]
        await super()._prepare_headers()
        for name in own:
            self._headers.popall(name, None)


class WholeResponse(_AsReceived, web.Response):
    """An answer that is held whole."""


class StreamedResponse(_AsReceived, web.StreamResponse):
    """An answer that is passed on as it arrives."""
