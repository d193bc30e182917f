"""Stand in for network links between gateways, which can be cut and delayed."""

import asyncio
import json
import sys

from aiohttp import web


class LinkStandIn:
    """Forward TCP connections to one address, with a delay, until cut."""

    def __init__(self, target: str, delay: float = 0.0) -> None:
        self._target = target
        self._delay = delay
        self._cut = False
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._bytes = 0

    @property
    def address(self) -> str:
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    @property
    def bytes_carried(self) -> int:
        return self._bytes

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def set_cut(self, cut: bool) -> None:
        """Hold all bytes back, as a partition does, or let them pass again."""
        self._cut = cut
        if cut:
            self._resumed.clear()
        else:
            self._resumed.set()
            # Connections that lived through a cut are in an unknown state.
            for writer in self._writers:
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._resumed.wait()
            ip, _, port = self._target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            self._writers.add(far_writer)
            try:
                await asyncio.gather(
                    self._pump(reader, far_writer), self._pump(far_reader, writer)
                )
            finally:
                self._writers.discard(far_writer)
                far_writer.close()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while part := await reader.read(65_536):
            await self._resumed.wait()
            if self._delay:
                await asyncio.sleep(self._delay)
            self._bytes += len(part)
            writer.write(part)
            await writer.drain()
        writer.close()


async def _serve(order: dict) -> None:
    links = [
        LinkStandIn(target, order.get("delay", 0.0)) for target in order["targets"]
    ]
    for link in links:
        await link.start()

    async def control(request: web.Request) -> web.Response:
        change = await request.json()
        for index in change["links"]:
            links[index].set_cut(change["cut"])
        return web.json_response({"bytes": [link.bytes_carried for link in links]})

    application = web.Application()
    application.router.add_post("/_control", control)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    addresses = [link.address for link in links]
    print(
        json.dumps({"addresses": addresses, "control": f"127.0.0.1:{port}"}), flush=True
    )
    await asyncio.Event().wait()


def main() -> None:
    """Serve links as ordered by JSON on standard input."""
    try:
        asyncio.run(_serve(json.loads(sys.stdin.read())))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
