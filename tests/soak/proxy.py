"""Disturb the connections to one target from outside the processes."""

import asyncio

READ_BYTES = 65_536


class LoopbackProxy:
    """Pass bytes on, or delay, reset, cut one way or silence them."""

    def __init__(self, target: str) -> None:
        self._host, port = target.split(":")
        self._port = int(port)
        # "pass", "delay", "reset", "cut_answers" or "silent".
        self.mode = "pass"
        self._server: asyncio.Server | None = None
        # Connections that went silent stay so, while new ones work.
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
        """Let the open connections go silent for good; new ones work."""
        self._muted |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer, answers=False),
            self._pump(far_reader, writer, answers=True),
        )
        self._writers -= {writer, far_writer}
        self._muted -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                lost = self.mode == "cut_answers" and answers
                if not (lost or self.mode == "silent" or writer in self._muted):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()
