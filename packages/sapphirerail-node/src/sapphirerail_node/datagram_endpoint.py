"""Datagram sockets for callers and for backend servers."""

import socket
from collections.abc import Callable
from functools import lru_cache

from sapphirerail_core.datagram import Datagram
from sapphirerail_core.errors import InputError
from sapphirerail_core.flow.address import NO_ADDRESS, pack_address
from sapphirerail_transport.datagram_codec import decode_datagram, encode_datagram
from sapphirerail_transport.udp import Address, UdpSocket, parse_address

from .metrics import Metrics

__all__ = ["DatagramEndpoint", "DatagramHandler"]

DatagramHandler = Callable[[Datagram, Address], None]

_N_CACHED_ADDRESSES = 65_536


@lru_cache(_N_CACHED_ADDRESSES)
def _parse_ipv4_address(text: str) -> Address:
    # Host names are refused because the socket would resolve them and block the event
    # loop.
    if pack_address(text) == NO_ADDRESS:
        raise ValueError(f"{text!r} is not an IPv4 address and a port")
    return parse_address(text)


class DatagramEndpoint:
    """Sends datagrams on one socket, and decodes and validates received ones.

    Parameters
    ----------
    name : str
        Prefix of the counters, such as ``caller``.
    handler : callable
        Called with each valid datagram and the address of its sender.
    metrics : Metrics
        Counts received, sent and dropped datagrams.
    """

    def __init__(self, name: str, handler: DatagramHandler, metrics: Metrics) -> None:
        self.name = name
        self._handler = handler
        self._metrics = metrics
        self._socket: UdpSocket | None = None

    async def open(self, bound: socket.socket) -> None:
        """Start receiving from a bound socket."""
        self._socket = UdpSocket(bound, self._on_payload)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def send(self, datagram: Datagram, address: str) -> None:
        """Send a datagram to ``address:port``; only count an invalid address."""
        try:
            target = _parse_ipv4_address(address)
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
