"""The platform's packets: a head of 32 bytes, little-endian, then data."""

import struct
from functools import lru_cache
from typing import cast

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import ServerEntry
from sapphirerail_core.steering.packet import FlowKey, Packet, ServiceAddress
from sapphirerail_core.steering.tag import ServerTag
from sapphirerail_transport.udp import Address, parse_address

__all__ = ["PlatformPacketCodec"]

_SYN = 1
_ACK = 2
_RST = 8
_FIN = 64
# flags, pad, echo, dst, sport, dport, src, len, seq, ack, sum
_HEAD = struct.Struct("<BBIIHHIHIII")
# The same without pad, sport, src and sum, which no decision needs.
_READ = struct.Struct("<BxII2xH4xHII4x")
_ECHO = struct.Struct("<I")
_ECHO_AT = 2
# dst, sport, dport and src stand side by side and name the flow.
_ENDS = slice(6, 18)
_ENDS_FORM = struct.Struct("<IHHI")
_ADDRESSES_CACHED = 4_096

_cached_address = lru_cache(_ADDRESSES_CACHED)(parse_address)


class PlatformPacketCodec:
    """Decodes callers' packets, and encodes what servers and callers get.

    Parameters
    ----------
    caller_port : int
        Port at which every caller takes packets.
    """

    def __init__(self, caller_port: int) -> None:
        self._caller_port = caller_port

    def decode(self, datagram: bytes) -> Packet:
        """Return a caller's packet.

        Raises
        ------
        InputError
            ``packet.short`` or ``packet.length``.
        """
        if len(datagram) < _HEAD.size:
            raise InputError("packet.short", f"{len(datagram)} bytes are no head")
        # `echo` is the server's tag.
        flags, echo, dst, dport, length, seq, ack = _READ.unpack_from(datagram)
        if len(datagram) != _HEAD.size + length:
            raise InputError(
                "packet.length", f"{len(datagram)} bytes, {length} of data"
            )
        # By position, which is twice as fast on this path as by name.
        return Packet(
            cast(FlowKey, datagram[_ENDS]),
            cast(ServiceAddress, dst << 16 | dport),
            flags & (_SYN | _ACK) == _SYN,
            flags & _FIN != 0,
            flags & _RST != 0,
            echo,
            seq,
            ack,
            length,
            datagram,
        )

    def for_server(
        self, packet: Packet, server: ServerEntry, tag: ServerTag | None
    ) -> tuple[bytes, Address]:
        """Return the datagram for a server; a tag replaces the packet's own."""
        raw = packet.raw
        if tag is not None:
            raw = raw[:_ECHO_AT] + _ECHO.pack(tag) + raw[_ECHO_AT + _ECHO.size :]
        return server.identity.to_bytes(8, "big") + raw, _cached_address(server.address)

    def reset(self, packet: Packet) -> tuple[bytes, Address]:
        """Return the datagram that tells the caller that its flow has ended."""
        dst, sport, dport, src = _ENDS_FORM.unpack(packet.flow)
        head = _HEAD.pack(
            _RST, 0, 0, src, dport, sport, dst, 0, packet.acknowledged, 0, 0
        )
        return head, (_dotted(src), self._caller_port)

    def describe(self, flow: FlowKey) -> str:
        """Return ``caller>address`` of a flow."""
        dst, sport, dport, src = _ENDS_FORM.unpack(flow)
        return f"{_dotted(src)}:{sport}>{_dotted(dst)}:{dport}"


def _dotted(number: int) -> str:
    return ".".join(str(part) for part in number.to_bytes(4, "big"))
