"""UDP socket on the running event loop, and parsing of addresses."""

import asyncio
import logging
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

_log = logging.getLogger(__name__)

Address = tuple[str, int]

# Reading in batches empties the kernel's buffer faster under load; the limit lets the
# event loop run other work between batches.
BATCH_SIZE = 128
DATAGRAM_READ_BYTES = 65_536
# A datagram that fails may be followed by many of its kind.
FAILURE_LOG_INTERVAL_S = 1.0
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
        raise ValueError(f"{text!r} does not have the form address:port")
    return host, int(port)


def check_address(text: str) -> None:
    """Raise `ValueError` unless a text is an IPv4 address and a port.

    Host names are refused because the socket would resolve them and block the event
    loop.

    Examples
    --------
    >>> check_address("127.0.0.1:80")
    >>> check_address("localhost:80")
    Traceback (most recent call last):
    ...
    ValueError: 'localhost:80' is not an IPv4 address and a port
    """
    try:
        host, port = parse_address(text)
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise ValueError(f"{text!r} is not an IPv4 address and a port") from None
    if not 0 < port <= PORT_MAX:
        raise ValueError(f"{text!r} is not an IPv4 address and a port")


def format_address(address: Address) -> str:
    """Return ``address:port``."""
    return f"{address[0]}:{address[1]}"


def bind_datagram(address: Address) -> socket.socket:
    """Return a bound, non-blocking UDP socket."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


class UdpSocket:
    """UDP socket that calls back for each datagram and never blocks on sending.

    Parameters
    ----------
    bound : socket.socket
        A bound, non-blocking UDP socket; `close` closes it.
    on_datagram : callable
        Called with the payload and the sender's address.
    after_batch : callable or None
        Called after each batch of datagrams that is read.
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
        self._failure_logged_at_s = -FAILURE_LOG_INTERVAL_S
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(bound.fileno(), self._read_batch)

    @classmethod
    async def bind(
        cls,
        address: Address,
        on_datagram: Callable[[bytes, Address], None],
        after_batch: Callable[[], None] | None = None,
    ) -> "UdpSocket":
        """Open a socket on an address; port 0 selects a free port."""
        return cls(bind_datagram(address), on_datagram, after_batch)

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    def send(self, payload: bytes, address: Address) -> None:
        """Send one datagram; drop it if the send buffer is full or sending fails."""
        try:
            self._socket.sendto(payload, address)
        except OSError:
            # UDP may lose datagrams anyway; senders retransmit important ones.
            return

    def close(self) -> None:
        """Close the socket; datagrams in the send buffer are still sent."""
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
                # ICMP reports that an earlier datagram reached a closed port; more
                # datagrams may be waiting.
                continue
            try:
                on_datagram(payload, sender)
            except Exception:
                # The other datagrams must not wait for, or be lost with, this one.
                self._log_failure(payload, sender)
            if self._is_closed:
                return
        if self._after_batch is not None:
            self._after_batch()

    def _log_failure(self, payload: bytes, sender: Address) -> None:
        """Log the exception being handled, at most once per interval."""
        now_s = self._loop.time()
        if now_s - self._failure_logged_at_s >= FAILURE_LOG_INTERVAL_S:
            self._failure_logged_at_s = now_s
            _log.exception(
                "handling a datagram of %d bytes from %s failed",
                len(payload),
                format_address(sender),
            )
