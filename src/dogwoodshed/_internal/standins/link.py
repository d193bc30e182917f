"""Simulate network links between gateways that can be cut and delayed."""

import asyncio
import json
import sys

from aiohttp import web


class LinkStandIn:
    """Forward TCP connections to one address, with an optional delay."""

    def __init__(self, target: str, delay: float = 0.0) -> None:
        self._target = target
        self._delay = delay
        self._cut = False
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._forwarded_bytes = 0

    @property
    def address(self) -> str:
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    @property
    def forwarded_bytes(self) -> int:
        return self._forwarded_bytes

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def set_cut(self, cut: bool) -> None:
        """Block all traffic, as a network partition does, or let it pass again."""
        self._cut = cut
        if cut:
            self._resumed.clear()
        else:
            self._resumed.set()
            # The state of connections that were open during a cut is unknown.
            for writer in self._writers:
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._resumed.wait()
            ip, _, port = self._target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
            self._writers.add(target_writer)
            try:
                await asyncio.gather(
                    self._forward(reader, target_writer),
                    self._forward(target_reader, writer),
                )
            finally:
                self._writers.discard(target_writer)
                target_writer.close()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(65_536):
            await self._resumed.wait()
            if self._delay:
                await asyncio.sleep(self._delay)
            self._forwarded_bytes += len(chunk)
            writer.write(chunk)
            await writer.drain()
        writer.close()


async def _serve(parameters: dict) -> None:
    links = [
        LinkStandIn(target, parameters.get("delay", 0.0))
        for target in parameters["targets"]
    ]
    for link in links:
        await link.start()

    async def control(request: web.Request) -> web.Response:
        command = await request.json()
        for index in command["links"]:
            links[index].set_cut(command["cut"])
        return web.json_response({"bytes": [link.forwarded_bytes for link in links]})

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
    """Serve the links that JSON on standard input describes."""
    try:
        asyncio.run(_serve(json.loads(sys.stdin.read())))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
