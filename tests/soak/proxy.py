"""Proxy that injects faults into the connections to one target."""

import asyncio

READ_BYTES = 65_536


class LoopbackProxy:
    """Forward data, or delay it, reset connections or drop data."""

    def __init__(self, target: str) -> None:
        self._host, port = target.split(":")
        self._port = int(port)
        # "pass", "delay", "reset", "cut_answers" (drop responses) or "silent" (drop all
        # data).
        self.mode = "pass"
        self._server: asyncio.Server | None = None
        # Writers of connections that stay silent, while new connections work.
        self._muted: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset the open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def mute_all(self) -> None:
        """Silence the open connections permanently; new ones work."""
        self._muted |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, is_response=False),
            self._forward(target_reader, writer, is_response=True),
        )
        self._writers -= {writer, target_writer}
        self._muted -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                drop = self.mode == "cut_answers" and is_response
                if not (drop or self.mode == "silent" or writer in self._muted):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()
