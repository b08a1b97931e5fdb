"""The callers stand-in: many conversations over one datagram socket."""

import random
from collections.abc import Callable
from typing import Annotated

import msgspec
import typer

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.errors import InputError
from sapphirerail_core.types import FlowId, RequestId, ServiceId, TrafficClass
from sapphirerail_transport.datagram_codec import decode_datagram, encode_datagram
from sapphirerail_transport.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.udp import (
    Address,
    UdpSocket,
    format_address,
    parse_address,
)

from .clock import Clock, LoopClock
from .conversation import Conversation
from .conversation_kinds import Feed, Transaction, Upload
from .history import HistoryEvent, Misdelivered
from .process import LOOPBACK, run, split_path

__all__ = ["CallerModel", "Callers", "CallersService"]

TRANSACTION_DEADLINE_MS = 3000
OPEN_DEADLINE_MS = 5000
UPLOAD_DEADLINE_MS = 30_000
PART_BYTES = 600


class CallerModel:
    """Starts conversations and dispatches incoming datagrams to them.

    Parameters
    ----------
    clock : Clock
        Time and timers.
    send : callable
        Sends a datagram to the fabric.
    seed : int
        Seed of flow numbers and bodies.
    """

    def __init__(
        self, clock: Clock, send: Callable[[Datagram], None], seed: int = 0
    ) -> None:
        self.events: list[HistoryEvent] = []
        self.transactions: list[Transaction] = []
        self.feeds: list[Feed] = []
        self.uploads: list[Upload] = []
        self._clock = clock
        self._send = send
        self._random = random.Random(seed)
        self._conversations: dict[int, Conversation] = {}

    def transaction(
        self,
        service: str,
        *,
        deadline_ms: int = TRANSACTION_DEADLINE_MS,
        idempotent: bool = False,
    ) -> Transaction:
        """Send a request; by default it is not idempotent and must run at most once."""
        opening = self._opening(Kind.REQUEST, service, TrafficClass.TRANSACTION)
        opening = msgspec.structs.replace(
            opening,
            request=RequestId(1 + self._random.getrandbits(31)),
            idempotent=idempotent,
            body=self._random.randbytes(32),
        )
        transaction = Transaction(
            opening, self._clock, self._send, self.events, deadline_ms
        )
        self.transactions.append(transaction)
        self._start(transaction)
        return transaction

    def feed(self, service: str, *, sends_keepalives: bool = True) -> Feed:
        """Open a feed."""
        feed = Feed(
            self._opening(Kind.OPEN, service, TrafficClass.FEED),
            self._clock,
            self._send,
            self.events,
            OPEN_DEADLINE_MS,
            sends_keepalives=sends_keepalives,
        )
        self.feeds.append(feed)
        self._start(feed)
        return feed

    def upload(
        self,
        service: str,
        n_parts: int,
        *,
        pause_ms: float = 0.0,
        deadline_ms: int = UPLOAD_DEADLINE_MS,
    ) -> Upload:
        """Start the upload of a body with a number of random parts."""
        upload = Upload(
            self._opening(Kind.OPEN, service, TrafficClass.UPLOAD),
            self._clock,
            self._send,
            self.events,
            deadline_ms,
            parts=[self._random.randbytes(PART_BYTES) for _ in range(n_parts)],
            pause_ms=pause_ms,
        )
        self.uploads.append(upload)
        self._start(upload)
        return upload

    def on_datagram(self, datagram: Datagram) -> None:
        """Pass a datagram to its conversation, or record it as misdelivered."""
        conversation = self._conversations.get(datagram.flow)
        if conversation is None:
            self._record_misdelivered(datagram, "no such flow at this caller")
        elif conversation.opening.service != datagram.service:
            self._record_misdelivered(
                datagram, f"unexpected service {datagram.service!r}"
            )
        else:
            conversation.on_datagram(datagram)

    def stop(self) -> None:
        """End all conversations without sending anything."""
        for conversation in self._conversations.values():
            conversation.stop()

    def _opening(
        self, kind: Kind, service: str, traffic_class: TrafficClass
    ) -> Datagram:
        return Datagram(
            kind=kind,
            service=ServiceId(service),
            flow=FlowId(self._random.getrandbits(64)),
            traffic_class=traffic_class,
        )

    def _start(self, conversation: Conversation) -> None:
        self._conversations[conversation.flow] = conversation
        conversation.start()

    def _record_misdelivered(self, datagram: Datagram, detail: str) -> None:
        event = Misdelivered(
            at_ms=self._clock.now_ms(),
            flow=datagram.flow,
            request=datagram.request,
            detail=f"{datagram.kind.name}: {detail}",
        )
        self.events.append(event)


class Callers(CallerModel):
    """Callers that share one datagram socket.

    Parameters
    ----------
    fabric : Address
        Address that datagrams are sent to.
    seed : int
        Seed of flow numbers and bodies.
    """

    def __init__(self, fabric: Address, seed: int = 0) -> None:
        super().__init__(LoopClock(), self._send_to_fabric, seed)
        self.fabric = fabric
        self.n_malformed = 0
        self._socket: UdpSocket | None = None

    async def start(self, address: Address) -> Address:
        """Open the socket and return its address."""
        self._socket = await UdpSocket.bind(address, self._on_payload)
        return self._socket.address

    def close(self) -> None:
        """End all conversations and close the socket."""
        self.stop()
        if self._socket is not None:
            self._socket.close()

    def send_raw(self, payload: bytes) -> None:
        """Send arbitrary bytes to the fabric."""
        assert self._socket is not None
        self._socket.send(payload, self.fabric)

    def _send_to_fabric(self, datagram: Datagram) -> None:
        self.send_raw(encode_datagram(datagram))

    def _on_payload(self, payload: bytes, sender: Address) -> None:
        try:
            datagram = decode_datagram(payload)
        except InputError:
            self.n_malformed += 1
            return
        self.on_datagram(datagram)


class _WorkRequest(msgspec.Struct):
    """Body of ``POST /work``: how many conversations to start with a service.

    Parameters
    ----------
    service : str
        Service to call.
    n_holds, n_feeds, n_uploads : int
        Transactions, feeds and uploads to start.
    n_parts : int
        Parts of each upload.
    """

    service: str
    n_holds: int = 0
    n_feeds: int = 0
    n_uploads: int = 0
    n_parts: int = 4


class CallersService:
    """Runs callers in a process of their own, with an admin API.

    ``POST /work`` starts conversations, ``POST /close`` closes the feeds and
    ``GET /record`` returns the events.

    Parameters
    ----------
    fabric : str
        Address that datagrams are sent to.
    seed : int
        Seed of flow numbers and bodies.
    """

    def __init__(self, fabric: str, seed: int = 0) -> None:
        self._callers = Callers(parse_address(fabric), seed)
        self._http = HttpServer(self._handle)

    async def start(self) -> dict[str, str]:
        """Open both sockets and return their addresses."""
        address = await self._callers.start(parse_address(LOOPBACK))
        admin = await self._http.start(parse_address(LOOPBACK))
        return {
            "address": format_address(address),
            "admin_address": format_address(admin),
        }

    async def close(self) -> None:
        """Close both sockets."""
        self._callers.close()
        await self._http.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        call, _ = split_path(request)
        if call == "work":
            self._start_work(request.json(_WorkRequest))
        elif call == "close":
            for feed in self._callers.feeds:
                feed.close()
        elif call == "record":
            return HttpResponse(self._callers.events)
        else:
            raise HttpError(404, "http.no_such_call", request.path)
        return HttpResponse({})

    def _start_work(self, work: _WorkRequest) -> None:
        for _ in range(work.n_holds):
            self._callers.transaction(work.service)
        for _ in range(work.n_feeds):
            self._callers.feed(work.service)
        for _ in range(work.n_uploads):
            self._callers.upload(work.service, work.n_parts)


def main(
    fabric: Annotated[str, typer.Option(help="Address of the fabric.")],
    seed: Annotated[int, typer.Option(help="Seed of the callers' choices.")] = 0,
) -> None:
    """Serve callers until SIGTERM."""
    run(CallersService(fabric, seed))


if __name__ == "__main__":
    typer.run(main)
