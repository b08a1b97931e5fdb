"""The sockets towards callers and towards backend servers."""

import socket
from collections.abc import Callable
from functools import lru_cache

from sapphirerail_core.datagram import Datagram
from sapphirerail_core.errors import InputError
from sapphirerail_core.flow.address import NO_ADDRESS, pack_address
from sapphirerail_transport.datagram_codec import decode_datagram, encode_datagram
from sapphirerail_transport.udp import Address, UdpSocket, parse_address

from .metrics import Metrics

__all__ = ["DatagramEdge", "DatagramHandler"]

DatagramHandler = Callable[[Datagram, Address], None]

_ADDRESSES_CACHED = 65_536


@lru_cache(_ADDRESSES_CACHED)
def _cached_address(text: str) -> Address:
    # The socket would look the name up and hold up the loop meanwhile.
    if pack_address(text) == NO_ADDRESS:
        raise ValueError(f"{text!r} is not an IPv4 number and a port")
    return parse_address(text)


class DatagramEdge:
    """Receives, checks and sends datagrams on one socket.

    Parameters
    ----------
    name : str
        Prefix of the counters, such as ``caller``.
    handler : callable
        Called with each datagram that could be decoded.
    metrics : Metrics
        Counts what is received, sent and dropped.
    """

    def __init__(self, name: str, handler: DatagramHandler, metrics: Metrics) -> None:
        self.name = name
        self._handler = handler
        self._metrics = metrics
        self._socket: UdpSocket | None = None

    async def open(self, bound: socket.socket) -> None:
        """Start reading from a bound socket."""
        self._socket = UdpSocket(bound, self._on_payload)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def send(self, datagram: Datagram, address: str) -> None:
        """Send a datagram to ``address:port``; a bad address is only counted."""
        try:
            target = _cached_address(address)
        except ValueError:
            self._metrics.count(f"{self.name}.bad_address")
            return
        if self._socket is not None:
            self._socket.send(encode_datagram(datagram), target)
            self._metrics.count(f"{self.name}.sent")

    def _on_payload(self, payload: bytes, sender: Address) -> None:
        try:
            datagram = decode_datagram(payload)
        except InputError as error:
            self._metrics.count(f"{self.name}.dropped.{error.code}")
            return
        self._metrics.count(f"{self.name}.received")
        self._handler(datagram, sender)
