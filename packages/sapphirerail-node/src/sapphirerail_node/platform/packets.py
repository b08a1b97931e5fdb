"""Codec of the platform's packets: a 32-byte little-endian header, then data."""

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
_HEADER = struct.Struct("<BBIIHHIHIII")
# The same header without pad, sport, src and sum, which no decision needs.
_DECODED_FIELDS = struct.Struct("<BxII2xH4xHII4x")
_unpack_fields = _DECODED_FIELDS.unpack_from
_HEADER_BYTES = _HEADER.size
# Whether a packet opens a flow, closes the caller's direction, resets it; by its flags.
_FLAG_MEANINGS = [
    (flags & (_SYN | _ACK) == _SYN, flags & _FIN != 0, flags & _RST != 0)
    for flags in range(256)
]
# The field echo holds the server's tag.
_TAG = struct.Struct("<I")
_TAG_OFFSET = 2
# dst, sport, dport and src are adjacent and identify the flow.
_FLOW_KEY = slice(6, 18)
_FLOW_KEY_FIELDS = struct.Struct("<IHHI")
# Servers whose destination is cached; more than one process sends to at a time.
_N_DESTINATIONS_MAX = 4_096

# An entry, the bytes that precede a packet sent to its server, and the decoded address.
_Destination = tuple[ServerEntry, bytes, Address]


class PlatformPacketCodec:
    """Decodes callers' packets, and encodes datagrams for servers and callers.

    Parameters
    ----------
    caller_port : int
        Port at which every caller receives packets.
    """

    def __init__(self, caller_port: int) -> None:
        self._caller_port = caller_port
        self._destinations: dict[ServerId, _Destination] = {}

    def decode(self, datagram: bytes) -> Packet:
        """Decode a caller's packet.

        Raises
        ------
        InputError
            ``packet.short`` if it is shorter than a header, ``packet.length`` if its
            length differs from the length in the header.
        """
        if len(datagram) < _HEADER_BYTES:
            raise InputError(
                "packet.short",
                f"{len(datagram)} bytes are too few for a 32-byte header",
            )
        flags, echo, dst, dport, length, seq, ack = _unpack_fields(datagram)
        if len(datagram) != _HEADER_BYTES + length:
            raise InputError(
                "packet.length",
                f"{len(datagram)} bytes, but the header gives {length} bytes of data",
            )
        is_opening, is_finish, is_reset = _FLAG_MEANINGS[flags]
        # Positional arguments are twice as fast as keywords on this path, and calling
        # the NewTypes would cost a tenth of it.
        return Packet(
            datagram[_FLOW_KEY],  # type: ignore[arg-type]
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

    def encode_for_server(
        self, packet: Packet, server: ServerEntry, tag: ServerTag | None
    ) -> tuple[bytes, Address]:
        """Return the datagram for a server; a given tag replaces the packet's tag."""
        raw = packet.raw
        if tag is not None:
            raw = raw[:_TAG_OFFSET] + _TAG.pack(tag) + raw[_TAG_OFFSET + _TAG.size :]
        destination = self._destinations.get(server.server)
        if destination is None or destination[0] is not server:
            destination = self._encode_destination(server)
        return destination[1] + raw, destination[2]

    def _encode_destination(self, server: ServerEntry) -> _Destination:
        """Encode and cache what all datagrams for an entry have in common."""
        if len(self._destinations) >= _N_DESTINATIONS_MAX:
            self._destinations.clear()
        identity = server.identity.to_bytes(8, "big")
        destination = (server, identity, parse_address(server.address))
        self._destinations[server.server] = destination
        return destination

    def encode_reset(self, packet: Packet) -> tuple[bytes, Address]:
        """Return the datagram that notifies the caller that its flow is closed."""
        dst, sport, dport, src = _FLOW_KEY_FIELDS.unpack(packet.flow)
        header = _HEADER.pack(
            _RST, 0, 0, src, dport, sport, dst, 0, packet.acknowledged, 0, 0
        )
        return header, (_dotted(src), self._caller_port)

    def format_flow(self, flow: FlowKey) -> str:
        """Return the endpoints of a flow as ``caller>address``."""
        dst, sport, dport, src = _FLOW_KEY_FIELDS.unpack(flow)
        return f"{_dotted(src)}:{sport}>{_dotted(dst)}:{dport}"


def _dotted(number: int) -> str:
    return ".".join(str(part) for part in number.to_bytes(4, "big"))
