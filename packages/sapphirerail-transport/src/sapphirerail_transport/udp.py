"""A datagram socket on the running loop."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

__all__ = ["Address", "UdpSocket", "format_address", "parse_address"]

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Return the host and port of ``address:port``.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"{text!r} is not of the form address:port")
    return host, int(port)


def format_address(address: Address) -> str:
    """Return ``address:port``."""
    return f"{address[0]}:{address[1]}"


class UdpSocket(asyncio.DatagramProtocol):
    """Calls back for each datagram; sending never blocks.

    Parameters
    ----------
    on_datagram : callable
        Called with the payload and the sender's address.
    """

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def bind(
        cls, address: Address, on_datagram: Callable[[bytes, Address], None]
    ) -> "UdpSocket":
        """Open a socket on an address; port 0 takes a free one."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(on_datagram), local_addr=address
        )
        return protocol

    @classmethod
    async def adopt(
        cls, bound: socket.socket, on_datagram: Callable[[bytes, Address], None]
    ) -> "UdpSocket":
        """Read from a socket that is bound already and may hold datagrams."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(on_datagram), sock=bound
        )
        return protocol

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        assert self._transport is not None
        return cast(Address, self._transport.get_extra_info("sockname"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram on."""
        self._on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port: a datagram may be lost."""

    def send(self, payload: bytes, address: Address) -> None:
        """Send one datagram, unless the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(payload, address)

    def close(self) -> None:
        """Close the socket; datagrams that were sent still leave."""
        if self._transport is not None:
            self._transport.close()
