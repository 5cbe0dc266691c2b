"""TCP proxy on a loopback address; it can hold back all bytes, as a partition does."""

import asyncio
import contextlib


class Proxy:
    """Passes connections on to one address, unless the path is cut.

    While it is cut, new connections get no answer and the bytes of open ones stay where they are.

    :param target: ``host:port``.
    """

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Cuts the path in both directions."""
        self._open.clear()

    def heal(self) -> None:
        """Lets everything pass again."""
        self._open.set()

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(self._host, int(self._port))
            try:
                await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
            finally:
                far_writer.close()
        except OSError:
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
