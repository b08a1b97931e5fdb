"""A stream relay that injects faults."""

import asyncio

from sapphirerail_transport.udp import Address, format_address

from .link_faults import Direction, FaultRules

__all__ = ["TcpRelay"]

READ_BYTES = 65536
CUT_POLL_MS = 50


class _Connection:
    """A client's connection and the relay's connection to the target."""

    def __init__(self, sender: str) -> None:
        self.sender = sender
        self.is_blackholed = False


class TcpRelay:
    """Forwards streams to one target.

    The fault ``cut`` aborts open connections and refuses new ones; ``delay_ms`` delays
    each chunk, and ``bytes_per_s`` limits all streams in one direction together. Loss,
    duplication and jitter don't apply to a stream.

    Parameters
    ----------
    name : str
        Name that fault rules match.
    target : tuple of str and int, or None
        Target of the streams; while it is None, connections are refused.
    rules : FaultRules
        Faults to inject.
    """

    def __init__(self, name: str, target: Address | None, rules: FaultRules) -> None:
        self.name = name
        self.target = target
        self._rules = rules
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # When the chunks so far have passed a link of limited bandwidth.
        self._is_free_at_s = dict.fromkeys(Direction, 0.0)

    async def start(self, address: Address) -> Address:
        """Listen on an address and return the bound address."""
        self._server = await asyncio.start_server(self._on_connection, *address)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def close(self) -> None:
        """Stop listening and abort the open connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def blackhole(self) -> None:
        """Drop all further data on the connections that are open now."""
        for connection in self._connections:
            connection.is_blackholed = True

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = _Connection(format_address(writer.get_extra_info("peername")))
        self._connections.add(connection)
        try:
            await self._relay(connection, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._connections.discard(connection)
            writer.transport.abort()

    async def _relay(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._is_cut(connection) or self.target is None:
            return
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        pumps = [
            asyncio.create_task(self._pump(connection, reader, target_writer, False)),
            asyncio.create_task(self._pump(connection, target_reader, writer, True)),
            asyncio.create_task(self._wait_until_cut(connection)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            target_writer.close()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_return: bool,
    ) -> None:
        """Forward chunks until the return path is closed; forward a half close."""
        direction = Direction.BACK if is_return else Direction.FORWARD
        while chunk := await reader.read(READ_BYTES):
            faults = self._rules.faults(self.name, connection.sender, direction)
            if faults.delay_ms:
                await asyncio.sleep(faults.delay_ms / 1000)
            if faults.bytes_per_s:
                await self._pace(direction, len(chunk) / faults.bytes_per_s)
            if not connection.is_blackholed:
                writer.write(chunk)
                await writer.drain()
        if not is_return:
            writer.write_eof()
            await asyncio.Event().wait()
        await _flush(writer)

    async def _pace(self, direction: Direction, duration_s: float) -> None:
        """Wait until a chunk has passed behind the earlier ones."""
        now_s = asyncio.get_running_loop().time()
        free_at_s = max(now_s, self._is_free_at_s[direction]) + duration_s
        self._is_free_at_s[direction] = free_at_s
        await asyncio.sleep(free_at_s - now_s)

    async def _wait_until_cut(self, connection: _Connection) -> None:
        while not self._is_cut(connection):
            await asyncio.sleep(CUT_POLL_MS / 1000)

    def _is_cut(self, connection: _Connection) -> bool:
        return self._rules.faults(self.name, connection.sender, Direction.FORWARD).cut


async def _flush(writer: asyncio.StreamWriter) -> None:
    """Close the stream after its buffer is flushed, before it is aborted."""
    writer.close()
    await writer.wait_closed()
