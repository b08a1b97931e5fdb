"""Relay of TCP connections that stands for a link with little bandwidth."""

import asyncio

from sapphirerail_transport.udp import Address

__all__ = ["PacedRelay"]

CHUNK_BYTES = 4_096


class PacedRelay:
    """Forwards connections to a target; all its answers share one bandwidth.

    Parameters
    ----------
    target : Address
        Server to forward to.
    bytes_per_s : float
        Bandwidth of the link towards the clients.
    """

    def __init__(self, target: Address, bytes_per_s: float) -> None:
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._is_free_at_s = 0.0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Listen on a free port and return its address."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
            request = asyncio.create_task(_copy(reader, upstream_writer))
            try:
                await self._copy_paced(upstream_reader, writer)
            finally:
                request.cancel()
                upstream_writer.close()
        except (OSError, asyncio.CancelledError):
            # Either side closed the connection, or the relay is being closed.
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _copy_paced(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(CHUNK_BYTES):
            begins_at_s = max(loop.time(), self._is_free_at_s)
            self._is_free_at_s = begins_at_s + len(data) / self._bytes_per_s
            await asyncio.sleep(self._is_free_at_s - loop.time())
            writer.write(data)
            await writer.drain()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(CHUNK_BYTES):
        writer.write(data)
        await writer.drain()
