"""A datagram relay that injects faults."""

import asyncio
from functools import partial

from sapphirerail_core.errors import InputError
from sapphirerail_transport.datagram_codec import decode_datagram
from sapphirerail_transport.udp import Address, UdpSocket, format_address

from .clock import Clock
from .link_faults import Direction, FaultRules

__all__ = ["UdpRelay"]

LOOPBACK_HOST = "127.0.0.1"


class _Session:
    """One sender of a relay and the socket that is used for it towards the target."""

    def __init__(self, sender: Address) -> None:
        self.sender = sender
        self.name = format_address(sender)
        self.socket: UdpSocket | None = None
        self.pending: list[bytes] = []


class UdpRelay:
    """Forwards datagrams between its senders and one target.

    Each sender gets a socket of its own towards the target, so that the target's
    answers can be forwarded to it.

    Parameters
    ----------
    name : str
        Name that fault rules match.
    target : tuple of str and int, or None
        Target of the datagrams; while it is None, they are dropped.
    rules : FaultRules
        Faults to inject.
    clock : Clock
        Timers for the delays.
    """

    def __init__(
        self, name: str, target: Address | None, rules: FaultRules, clock: Clock
    ) -> None:
        self.name = name
        self.target = target
        self._rules = rules
        self._clock = clock
        self._sessions: dict[Address, _Session] = {}
        self._seen_connections: set[str] = set()
        self._blackholed: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> Address:
        """Listen on an address and return the bound address."""
        self._socket = await UdpSocket.bind(address, self._on_forward)
        return self._socket.address

    async def close(self) -> None:
        """Close all sockets."""
        self._socket.close()
        for session in self._sessions.values():
            if session.socket is not None:
                session.socket.close()

    def blackhole(self) -> None:
        """Drop everything on the connections seen so far; new ones still pass.

        A connection is one flow of one sender, or all of a sender's datagrams that
        have no flow. The same flow still passes if it comes from another sender.
        """
        self._blackholed |= self._seen_connections

    def _on_forward(self, payload: bytes, sender: Address) -> None:
        if self.target is None:
            return
        session = self._sessions.get(sender)
        if session is None:
            session = _Session(sender)
            self._sessions[sender] = session
            task = asyncio.create_task(self._open(session))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._forward(payload, session, Direction.FORWARD)

    async def _open(self, session: _Session) -> None:
        def on_return(payload: bytes, _: Address) -> None:
            self._forward(payload, session, Direction.BACK)

        session.socket = await UdpSocket.bind((LOOPBACK_HOST, 0), on_return)
        for payload in session.pending:
            self._send(payload, session, Direction.FORWARD)
        session.pending.clear()

    def _forward(self, payload: bytes, session: _Session, direction: Direction) -> None:
        key = _connection_key(payload, session.name)
        self._seen_connections.add(key)
        if key in self._blackholed:
            return
        for delay_ms in self._rules.delays_ms(self.name, session.name, direction):
            send = partial(self._send, payload, session, direction)
            if delay_ms:
                self._clock.call_later(delay_ms, send)
            else:
                send()

    def _send(self, payload: bytes, session: _Session, direction: Direction) -> None:
        if direction is Direction.BACK:
            self._socket.send(payload, session.sender)
        elif session.socket is None:
            session.pending.append(payload)
        elif self.target is not None:
            session.socket.send(payload, self.target)


def _connection_key(payload: bytes, sender: str) -> str:
    try:
        return f"{sender} flow {decode_datagram(payload).flow}"
    except InputError:
        return sender
