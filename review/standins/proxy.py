"""Proxy in front of the store: cuts one machine's way to it, or slows its link."""

import asyncio


class StoreProxy:
    """Relays connections to the store; `bytes_per_s` limits what the machine gets."""

    def __init__(self, store_address, bytes_per_s=None):
        host, port = store_address.split(":")
        self._target = host, int(port)
        self._bytes_per_s = bytes_per_s
        self._tasks = set()
        self.is_cut = False
        # Called with each request line that is passed on.
        self.on_request = None

    async def start(self, host):
        """Start, and serve until `close` is called."""
        self._server = await asyncio.start_server(self._on_connection, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def close(self):
        """Stop and release everything that was started."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _on_connection(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            if self.is_cut:
                # Nothing passes, and nothing tells the machine so.
                await asyncio.sleep(60)
            up_reader, up_writer = await asyncio.open_connection(*self._target)
            up = asyncio.create_task(self._up(reader, up_writer))
            try:
                await self._down(up_reader, writer)
            finally:
                up.cancel()
                up_writer.close()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _up(self, reader, writer):
        while data := await reader.read(65536):
            if self.on_request is not None:
                self.on_request(data.split(b"\r\n")[0].decode())
            writer.write(data)
            await writer.drain()

    async def _down(self, reader, writer):
        piece = 65536 if self._bytes_per_s is None else self._bytes_per_s // 50
        while data := await reader.read(piece):
            while self.is_cut:
                await asyncio.sleep(60)
            if self._bytes_per_s is not None:
                await asyncio.sleep(len(data) / self._bytes_per_s)
            writer.write(data)
            await writer.drain()
