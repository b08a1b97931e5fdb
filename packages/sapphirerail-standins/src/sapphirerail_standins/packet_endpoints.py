"""Stand-ins for both endpoints of the platform's flows: a server and a caller."""

import asyncio
import contextlib
import struct
from collections.abc import Awaitable, Callable
from enum import IntFlag

import msgspec

from sapphirerail_transport.udp import Address, UdpSocket

__all__ = ["Flag", "FlowResetError", "PacketCaller", "PacketServer", "Segment"]

_HEADER = struct.Struct("<BBIIHHIHIII")
_IDENTITY_BYTES = 8
SEQUENCE_MASK = 0xFFFFFFFF
RETRANSMIT_AFTER_S = (0.2, 0.4, 0.8)


class Flag(IntFlag):
    """Flag bits in a packet header."""

    SYN = 1
    ACK = 2
    RST = 8
    FIN = 64


class Segment(msgspec.Struct):
    """One packet as it is on the wire; IPv4 addresses are numbers."""

    flags: int
    echo: int
    dst: int
    sport: int
    dport: int
    src: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    # Only the endpoints of a flow can compute it; 0 in resets from instances.
    checksum: int = 0

    def encode(self) -> bytes:
        """Encode the packet."""
        head = _HEADER.pack(
            self.flags,
            0,
            self.echo,
            self.dst,
            self.sport,
            self.dport,
            self.src,
            len(self.data),
            self.seq,
            self.ack,
            self.checksum,
        )
        return head + self.data

    @classmethod
    def decode(cls, raw: bytes) -> "Segment":
        """Decode a packet."""
        flags, _, echo, dst, sport, dport, src, _, seq, ack, checksum = (
            _HEADER.unpack_from(raw)
        )
        data = raw[_HEADER.size :]
        return cls(flags, echo, dst, sport, dport, src, seq, ack, data, checksum)


def ipv4_number(host: str) -> int:
    """Convert an IPv4 address in dotted form to its number."""
    return int.from_bytes(bytes(map(int, host.split("."))), "big")


def ipv4_text(value: int) -> str:
    """Convert the number of an IPv4 address to dotted form."""
    return ".".join(map(str, value.to_bytes(4, "big")))


class PacketServer:
    """A backend server that answers each request with its name and the request.

    Parameters
    ----------
    name : str
        Prefix of its answers.
    identity : int
        Server identity that prefixes each packet addressed to it.
    caller_port : int
        Port on which callers receive packets.
    """

    def __init__(self, name: str, identity: int, caller_port: int) -> None:
        self.name = name
        self.identity = identity
        self.is_unresponsive = False
        self.n_openings = 0
        self.n_misdirected = 0
        # Callbacks: on_opening gets each opening and the address of the instance that
        # forwarded it; on_request gets each new request.
        self.on_opening: Callable[[Segment, Address], None] | None = None
        self.on_request: Callable[[bytes], None] | None = None
        self._caller_port = caller_port
        # Sequence number of each flow's next request, by addresses and ports.
        self._open: dict[tuple[int, int, int, int], int] = {}
        self._socket: UdpSocket | None = None

    async def start(self, address: Address) -> Address:
        """Bind to an address and return the bound one."""
        self._socket = await UdpSocket.bind(address, self._on_datagram)
        return self._socket.address

    def close(self) -> None:
        """Stop taking packets."""
        if self._socket is not None:
            self._socket.close()

    def forget_flows(self) -> None:
        """Drop the state of all flows, as a crash does."""
        self._open.clear()

    def _on_datagram(self, datagram: bytes, sender: Address) -> None:
        if self.is_unresponsive:
            return
        identity = int.from_bytes(datagram[:_IDENTITY_BYTES], "big")
        if identity not in (0, self.identity):
            self.n_misdirected += 1
            return
        segment = Segment.decode(datagram[_IDENTITY_BYTES:])
        key = (segment.src, segment.sport, segment.dst, segment.dport)
        if segment.flags == Flag.SYN:
            self.n_openings += 1
            # A late retransmission must not reset the sequence of an open flow.
            self._open.setdefault(key, (segment.seq + 1) & SEQUENCE_MASK)
            if self.on_opening is not None:
                self.on_opening(segment, sender)
            self._reply(segment, Flag.SYN | Flag.ACK, ack=segment.seq + 1)
        elif key not in self._open:
            self._reply(segment, Flag.RST)
        elif segment.data:
            end = (segment.seq + len(segment.data)) & SEQUENCE_MASK
            if segment.seq == self._open[key]:
                # Retransmitted requests are answered again but not run again.
                self._open[key] = end
                if self.on_request is not None:
                    self.on_request(segment.data)
            data = f"{self.name}:".encode() + segment.data
            self._reply(segment, Flag.ACK, ack=end, data=data)

    def _reply(
        self, to: Segment, flags: int, *, ack: int = 0, data: bytes = b""
    ) -> None:
        answer = Segment(
            flags=flags,
            echo=to.echo,
            dst=to.src,
            sport=to.dport,
            dport=to.sport,
            src=to.dst,
            seq=to.ack or self.identity & SEQUENCE_MASK,
            ack=ack & SEQUENCE_MASK,
            data=data,
            checksum=1,
        )
        if self._socket is not None:
            target = (ipv4_text(to.src), self._caller_port)
            self._socket.send(answer.encode(), target)


class FlowResetError(ConnectionResetError):
    """A flow was reset by its server or by an instance.

    Parameters
    ----------
    segment : Segment
        The reset packet.
    """

    def __init__(self, segment: Segment) -> None:
        self.is_by_server = segment.checksum != 0
        who = "its server" if self.is_by_server else "an instance"
        super().__init__(f"the flow was reset by {who}")


Exchange = Callable[[Segment, Callable[[Segment], bool]], Awaitable[Segment]]


class PacketCaller:
    """A caller whose packets may reach any instance.

    Parameters
    ----------
    router : callable
        Returns the destination address of the next packet from a source port.
    """

    def __init__(self, router: Callable[[int], Address]) -> None:
        self._router = router
        self._socket: UdpSocket | None = None
        self._host = ""
        self._waiting: dict[int, asyncio.Queue[Segment]] = {}
        self._next_port = 20_000

    async def start(self, address: Address) -> None:
        """Bind to an address."""
        self._host = address[0]
        self._socket = await UdpSocket.bind(address, self._on_datagram)

    def close(self) -> None:
        """Stop taking packets."""
        if self._socket is not None:
            self._socket.close()

    def _on_datagram(self, datagram: bytes, _: Address) -> None:
        segment = Segment.decode(datagram)
        queue = self._waiting.get(segment.dport)
        if queue is not None:
            queue.put_nowait(segment)

    def _send(self, segment: Segment) -> None:
        if self._socket is not None:
            self._socket.send(segment.encode(), self._router(segment.sport))

    async def _exchange(
        self, segment: Segment, is_answer: Callable[[Segment], bool]
    ) -> Segment:
        """Send and retransmit until an answer arrives; ignore other segments."""
        queue = self._waiting[segment.sport]
        for wait_s in RETRANSMIT_AFTER_S:
            self._send(segment)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while True:
                        answer = await queue.get()
                        if is_answer(answer):
                            return answer
        raise TimeoutError(f"no answer to {len(RETRANSMIT_AFTER_S)} transmissions")

    async def open(self, host: str, port: int) -> "OpenFlow":
        """Open a flow.

        Raises
        ------
        FlowResetError
            If the opening is reset.
        TimeoutError
            If no answer arrives.
        """
        self._next_port += 1
        sport = self._next_port
        self._waiting[sport] = asyncio.Queue()
        first = Segment(
            Flag.SYN, 0, ipv4_number(host), sport, port, ipv4_number(self._host), 100
        )
        answer = await self._exchange(first, lambda _: True)
        if answer.flags & Flag.RST:
            raise FlowResetError(answer)
        flow = OpenFlow(first, answer, self._exchange)
        self._send(flow.segment(Flag.ACK))
        return flow


class OpenFlow:
    """The caller's side of an open flow."""

    def __init__(
        self,
        first: Segment,
        answer: Segment,
        exchange: Exchange,
    ) -> None:
        self._first = first
        self._exchange = exchange
        self.echo = answer.echo
        self._seq = first.seq + 1
        self._ack = (answer.seq + 1) & SEQUENCE_MASK

    def segment(self, flags: int, data: bytes = b"") -> Segment:
        """Return the flow's next packet."""
        first = self._first
        return Segment(
            flags=flags,
            echo=self.echo,
            dst=first.dst,
            sport=first.sport,
            dport=first.dport,
            src=first.src,
            seq=self._seq,
            ack=self._ack,
            data=data,
        )

    async def send_request(self, data: bytes) -> bytes:
        """Send a request and return its answer."""
        answer = await self._exchange(self.segment(Flag.ACK, data), self._is_answer)
        if answer.flags & Flag.RST:
            raise FlowResetError(answer)
        self._seq += len(data)
        self._ack = (self._ack + len(answer.data)) & SEQUENCE_MASK
        return answer.data

    def _is_answer(self, segment: Segment) -> bool:
        """Return whether a segment continues after the last answer, or is a reset.

        A second server may have received the opening and answer it late, and
        retransmitted requests may be answered again.
        """
        if segment.flags & Flag.RST:
            return True
        return not segment.flags & Flag.SYN and segment.seq == self._ack
