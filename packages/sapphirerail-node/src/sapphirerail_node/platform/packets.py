"""The platform's packets: a head of 32 bytes, little-endian, then data."""

import struct

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import ServerEntry
from sapphirerail_core.steering.packet import FlowKey, Packet
from sapphirerail_core.steering.tag import ServerTag
from sapphirerail_core.types import ServerId
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
_read = _READ.unpack_from
_HEAD_BYTES = _HEAD.size
# Whether a packet opens a flow, ends the caller's direction, aborts; by its flags.
_MEANINGS = [
    (flags & (_SYN | _ACK) == _SYN, flags & _FIN != 0, flags & _RST != 0)
    for flags in range(256)
]
_ECHO = struct.Struct("<I")
_ECHO_AT = 2
# dst, sport, dport and src stand side by side and name the flow.
_ENDS = slice(6, 18)
_ENDS_FORM = struct.Struct("<IHHI")
# Servers whose address is kept decoded, above what one process sends to at a time.
_WAYS_MAX = 4_096

# An entry, the bytes that precede a packet on its way to it, and where it is sent.
_Way = tuple[ServerEntry, bytes, Address]


class PlatformPacketCodec:
    """Decodes callers' packets, and encodes what servers and callers get.

    Parameters
    ----------
    caller_port : int
        Port at which every caller takes packets.
    """

    def __init__(self, caller_port: int) -> None:
        self._caller_port = caller_port
        self._ways: dict[ServerId, _Way] = {}

    def decode(self, datagram: bytes) -> Packet:
        """Return a caller's packet.

        Raises
        ------
        InputError
            ``packet.short`` or ``packet.length``.
        """
        if len(datagram) < _HEAD_BYTES:
            raise InputError("packet.short", f"{len(datagram)} bytes are no head")
        # `echo` is the server's tag.
        flags, echo, dst, dport, length, seq, ack = _read(datagram)
        if len(datagram) != _HEAD_BYTES + length:
            raise InputError(
                "packet.length", f"{len(datagram)} bytes, {length} of data"
            )
        is_opening, is_finish, is_reset = _MEANINGS[flags]
        # By position, which is twice as fast on this path as by name; and without the
        # calls of the types' names, which cost a tenth of it.
        return Packet(
            datagram[_ENDS],  # type: ignore[arg-type]
            dst << 16 | dport,  # type: ignore[arg-type]
            is_opening,
            is_finish,
            is_reset,
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
        way = self._ways.get(server.server)
        if way is None or way[0] is not server:
            way = self._find_way(server)
        return way[1] + raw, way[2]

    def _find_way(self, server: ServerEntry) -> _Way:
        """Encode once what the datagrams for an entry have in common."""
        if len(self._ways) >= _WAYS_MAX:
            self._ways.clear()
        identity = server.identity.to_bytes(8, "big")
        way = (server, identity, parse_address(server.address))
        self._ways[server.server] = way
        return way

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
