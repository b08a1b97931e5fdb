"""A datagram socket on the running loop."""

import asyncio
import socket
from collections.abc import Callable

__all__ = [
    "Address",
    "UdpSocket",
    "bind_datagram",
    "check_address",
    "format_address",
    "parse_address",
]

Address = tuple[str, int]

# Reading in batches keeps the kernel's buffer short under load, and the bound leaves
# the loop to other work in between.
BATCH_SIZE = 128
DATAGRAM_READ_BYTES = 65_536
PORT_MAX = 65_535


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


def check_address(text: str) -> None:
    """Raise `ValueError` unless a text is an IPv4 number and a port.

    A name in its place would have the socket look it up, and hold up the loop.

    Examples
    --------
    >>> check_address("127.0.0.1:80")
    >>> check_address("localhost:80")
    Traceback (most recent call last):
    ...
    ValueError: 'localhost:80' is not an IPv4 number and a port
    """
    try:
        host, port = parse_address(text)
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise ValueError(f"{text!r} is not an IPv4 number and a port") from None
    if not 0 < port <= PORT_MAX:
        raise ValueError(f"{text!r} is not an IPv4 number and a port")


def format_address(address: Address) -> str:
    """Return ``address:port``."""
    return f"{address[0]}:{address[1]}"


def bind_datagram(address: Address) -> socket.socket:
    """Return a datagram socket that is bound and does not block."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


class UdpSocket:
    """Calls back for each datagram; sending never blocks.

    Parameters
    ----------
    bound : socket.socket
        A bound, non-blocking datagram socket; closed with this object.
    on_datagram : callable
        Called with the payload and the sender's address.
    after_batch : callable or None
        Called when all datagrams that waited have been taken.
    """

    def __init__(
        self,
        bound: socket.socket,
        on_datagram: Callable[[bytes, Address], None],
        after_batch: Callable[[], None] | None = None,
    ) -> None:
        self._socket = bound
        self._on_datagram = on_datagram
        self._after_batch = after_batch
        self._is_closed = False
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(bound.fileno(), self._read_batch)

    @classmethod
    async def bind(
        cls,
        address: Address,
        on_datagram: Callable[[bytes, Address], None],
        after_batch: Callable[[], None] | None = None,
    ) -> "UdpSocket":
        """Open a socket on an address; port 0 takes a free one."""
        return cls(bind_datagram(address), on_datagram, after_batch)

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    def send(self, payload: bytes, address: Address) -> None:
        """Send one datagram; it is lost if the socket is full or closed."""
        try:
            self._socket.sendto(payload, address)
        except OSError:
            # As on the way, a datagram may be lost here; senders repeat what counts.
            return

    def close(self) -> None:
        """Close the socket; datagrams that were sent still leave."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _read_batch(self) -> None:
        receive, on_datagram = self._socket.recvfrom, self._on_datagram
        for _ in range(BATCH_SIZE):
            try:
                payload, sender = receive(DATAGRAM_READ_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # An earlier datagram met a closed port; others may wait.
                continue
            on_datagram(payload, sender)
            if self._is_closed:
                return
        if self._after_batch is not None:
            self._after_batch()
