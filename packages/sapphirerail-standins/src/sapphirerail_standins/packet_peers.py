"""Stand-ins of the ends of the platform's flows: a server and a caller."""

import asyncio
import contextlib
import struct
from collections.abc import Awaitable, Callable
from enum import IntFlag

import msgspec

from sapphirerail_transport.udp import Address, UdpSocket

__all__ = ["Flag", "FlowResetError", "PacketCaller", "PacketServer", "Segment"]

_HEAD = struct.Struct("<BBIIHHIHIII")
_IDENTITY_BYTES = 8
SEQUENCE_MASK = 0xFFFFFFFF
COPIES_AFTER_S = (0.2, 0.4, 0.8)


class Flag(IntFlag):
    """Bits of a packet's head."""

    SYN = 1
    ACK = 2
    RST = 8
    FIN = 64


class Segment(msgspec.Struct):
    """One packet in the form of the wire; addresses are numbers."""

    flags: int
    echo: int
    dst: int
    sport: int
    dport: int
    src: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    # What only the ends of a flow can compute; 0 in a reset of the system's own.
    checksum: int = 0

    def encode(self) -> bytes:
        """Return the bytes of the packet."""
        head = _HEAD.pack(
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
        """Return a packet from its bytes."""
        flags, _, echo, dst, sport, dport, src, _, seq, ack, checksum = (
            _HEAD.unpack_from(raw)
        )
        data = raw[_HEAD.size :]
        return cls(flags, echo, dst, sport, dport, src, seq, ack, data, checksum)


def number(host: str) -> int:
    """Return an IPv4 address as the number that packets hold."""
    return int.from_bytes(bytes(map(int, host.split("."))), "big")


def dotted(value: int) -> str:
    """Return an IPv4 number as text."""
    return ".".join(map(str, value.to_bytes(4, "big")))


class PacketServer:
    """A backend server that answers each request with its name.

    Parameters
    ----------
    name : str
        What it answers.
    identity : int
        Number that packets for it begin with.
    caller_port : int
        Port at which callers take packets.
    """

    def __init__(self, name: str, identity: int, caller_port: int) -> None:
        self.name = name
        self.identity = identity
        self.is_silent = False
        self.n_openings = 0
        self.n_misdirected = 0
        # Called with each opening or request that is new, and who passed it on.
        self.on_opening: Callable[[Segment, Address], None] | None = None
        self.on_request: Callable[[bytes], None] | None = None
        self._caller_port = caller_port
        # The position that a flow's next request begins at, by the flow's ends.
        self._open: dict[tuple[int, int, int, int], int] = {}
        self._socket: UdpSocket | None = None

    async def start(self, address: Address) -> Address:
        """Take packets on an address and return the one that was bound."""
        self._socket = await UdpSocket.bind(address, self._on_datagram)
        return self._socket.address

    def close(self) -> None:
        """Stop taking packets."""
        if self._socket is not None:
            self._socket.close()

    def forget(self) -> None:
        """Lose all flows, as a crash does."""
        self._open.clear()

    def _on_datagram(self, datagram: bytes, sender: Address) -> None:
        if self.is_silent:
            return
        identity = int.from_bytes(datagram[:_IDENTITY_BYTES], "big")
        if identity not in (0, self.identity):
            self.n_misdirected += 1
            return
        segment = Segment.decode(datagram[_IDENTITY_BYTES:])
        key = (segment.src, segment.sport, segment.dst, segment.dport)
        if segment.flags == Flag.SYN:
            self.n_openings += 1
            # A copy that comes late must not set an open flow back.
            self._open.setdefault(key, (segment.seq + 1) & SEQUENCE_MASK)
            if self.on_opening is not None:
                self.on_opening(segment, sender)
            self._reply(segment, Flag.SYN | Flag.ACK, ack=segment.seq + 1)
        elif key not in self._open:
            self._reply(segment, Flag.RST)
        elif segment.data:
            end = (segment.seq + len(segment.data)) & SEQUENCE_MASK
            if segment.seq == self._open[key]:
                # Copies of a request are answered again and not run again.
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
            target = (dotted(to.src), self._caller_port)
            self._socket.send(answer.encode(), target)


class FlowResetError(ConnectionResetError):
    """A flow was reset.

    Parameters
    ----------
    segment : Segment
        The reset.
    """

    def __init__(self, segment: Segment) -> None:
        self.is_by_server = segment.checksum != 0
        who = "its server" if self.is_by_server else "the system"
        super().__init__(f"the flow was reset by {who}")


Exchange = Callable[[Segment, Callable[[Segment], bool]], Awaitable[Segment]]


class PacketCaller:
    """A caller whose packets any instance may get.

    Parameters
    ----------
    router : callable
        Returns the address that gets the next packet of a port.
    """

    def __init__(self, router: Callable[[int], Address]) -> None:
        self._router = router
        self._socket: UdpSocket | None = None
        self._host = ""
        self._waiting: dict[int, asyncio.Queue[Segment]] = {}
        self._next_port = 20_000

    async def start(self, address: Address) -> None:
        """Take packets on an address."""
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
        """Send with copies until an answer comes back; other segments are ignored."""
        queue = self._waiting[segment.sport]
        for wait_s in COPIES_AFTER_S:
            self._send(segment)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while True:
                        answer = await queue.get()
                        if is_answer(answer):
                            return answer
        raise TimeoutError("no packet came back")

    async def open(self, host: str, port: int) -> "OpenFlow":
        """Open a flow; raises `ConnectionResetError` or `TimeoutError`."""
        self._next_port += 1
        sport = self._next_port
        self._waiting[sport] = asyncio.Queue()
        first = Segment(Flag.SYN, 0, number(host), sport, port, number(self._host), 100)
        answer = await self._exchange(first, lambda _: True)
        if answer.flags & Flag.RST:
            raise FlowResetError(answer)
        flow = OpenFlow(first, answer, self._exchange)
        self._send(flow.segment(Flag.ACK))
        return flow


class OpenFlow:
    """An open flow as its caller holds it."""

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

    async def ask(self, data: bytes) -> bytes:
        """Send a request and return its answer."""
        answer = await self._exchange(self.segment(Flag.ACK, data), self._is_answer)
        if answer.flags & Flag.RST:
            raise FlowResetError(answer)
        self._seq += len(data)
        self._ack = (self._ack + len(answer.data)) & SEQUENCE_MASK
        return answer.data

    def _is_answer(self, segment: Segment) -> bool:
        """Return whether a segment goes on where the last answer ended, or resets.

        A second server may have got the opening and answer it late, and copies of a
        request may be answered again.
        """
        if segment.flags & Flag.RST:
            return True
        return not segment.flags & Flag.SYN and segment.seq == self._ack
