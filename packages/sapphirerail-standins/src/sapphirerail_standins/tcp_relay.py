"""A stream relay that faults are injected into."""

import asyncio

from sapphirerail_transport.udp import Address, format_address

from .link_faults import Direction, FaultRules

__all__ = ["TcpRelay"]

READ_BYTES = 65536
CUT_CHECK_MS = 50


class _Pair:
    """A connection to the relay and the one that it opened to the target."""

    def __init__(self, sender: str) -> None:
        self.sender = sender
        self.is_silent = False


class TcpRelay:
    """Passes streams to one target.

    A cut ends open connections and refuses new ones; delays hold up each piece.
    Losses and duplicates have no meaning for a stream.

    Parameters
    ----------
    name : str
        What rules name it by.
    target : tuple of str and int, or None
        Where streams go; None refuses them until it is set.
    rules : FaultRules
        What goes wrong.
    """

    def __init__(self, name: str, target: Address | None, rules: FaultRules) -> None:
        self.name = name
        self.target = target
        self._rules = rules
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> Address:
        """Listen on an address and return the one that was bound."""
        self._server = await asyncio.start_server(self._on_connection, *address)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def close(self) -> None:
        """Stop listening and end the open connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Let nothing pass on the connections that are open now."""
        for pair in self._pairs:
            pair.is_silent = True

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        pair = _Pair(format_address(writer.get_extra_info("peername")))
        self._pairs.add(pair)
        try:
            await self._relay(pair, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._pairs.discard(pair)
            writer.transport.abort()

    async def _relay(
        self, pair: _Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut(pair) or self.target is None:
            return
        back_reader, back_writer = await asyncio.open_connection(*self.target)
        pumps = [
            asyncio.create_task(self._pump(pair, reader, back_writer, False)),
            asyncio.create_task(self._pump(pair, back_reader, writer, True)),
            asyncio.create_task(self._until_cut(pair)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            back_writer.close()

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        """Pass pieces on until the back way ends; a half close is passed on."""
        direction = Direction.BACK if is_back else Direction.FORWARD
        while piece := await reader.read(READ_BYTES):
            faults = self._rules.faults(self.name, pair.sender, direction)
            if faults.delay_ms:
                await asyncio.sleep(faults.delay_ms / 1000)
            if not pair.is_silent:
                writer.write(piece)
                await writer.drain()
        if not is_back:
            writer.write_eof()
            await asyncio.Event().wait()
        await _flush(writer)

    async def _until_cut(self, pair: _Pair) -> None:
        while not self._is_cut(pair):
            await asyncio.sleep(CUT_CHECK_MS / 1000)

    def _is_cut(self, pair: _Pair) -> bool:
        return self._rules.faults(self.name, pair.sender, Direction.FORWARD).cut


async def _flush(writer: asyncio.StreamWriter) -> None:
    """Wait until what was written has left before the stream is aborted."""
    writer.close()
    await writer.wait_closed()
