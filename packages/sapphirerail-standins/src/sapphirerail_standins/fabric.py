"""The fabric stand-in: sprays datagrams over the instances of a data centre."""

import random
from typing import Annotated

import msgspec
import typer

from sapphirerail_core.errors import InputError
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
from .process import LOOPBACK, run, split_path

__all__ = ["Fabric", "Spray", "SprayTarget"]


class SprayTarget(msgspec.Struct, frozen=True):
    """An instance that datagrams can be sent to."""

    instance: str
    address: str


class Spray:
    """Chooses a random target for each datagram (packet spraying).

    Parameters
    ----------
    clock : Clock
        Time for the expiry of removed targets.
    random_state : random.Random
        Random generator that the targets are drawn from.
    stale_ms : int
        How long a target that was removed from the list is still chosen.
    """

    def __init__(
        self, clock: Clock, random_state: random.Random, stale_ms: int = 0
    ) -> None:
        self.stale_ms = stale_ms
        self._clock = clock
        self._random = random_state
        self._targets: list[SprayTarget] = []
        self._removed: list[tuple[int, SprayTarget]] = []

    def set_targets(self, targets: list[SprayTarget]) -> None:
        """Replace the list of targets."""
        now_ms = self._clock.now_ms()
        removed = [target for target in self._targets if target not in targets]
        self._removed += [(now_ms + self.stale_ms, target) for target in removed]
        self._targets = list(targets)

    def choose(self) -> SprayTarget | None:
        """Return a target for one datagram, or None if there is none."""
        now_ms = self._clock.now_ms()
        self._removed = [entry for entry in self._removed if entry[0] > now_ms]
        targets = self._targets + [target for _, target in self._removed]
        return self._random.choice(targets) if targets else None


class _Targets(msgspec.Struct):
    targets: list[SprayTarget]
    stale_ms: int | None = None


class Fabric:
    """Writes the sender's address into each datagram and sprays it.

    ``PUT /targets`` sets the instances, ``GET /counts`` returns the number of
    datagrams that were sent to each. Malformed datagrams are sprayed unchanged.

    Parameters
    ----------
    address : str
        Address that callers send to.
    seed : int
        Seed of the spray.
    stale_ms : int
        How long a removed instance still receives datagrams.
    """

    def __init__(
        self, address: str = LOOPBACK, seed: int = 0, stale_ms: int = 0
    ) -> None:
        self._address = parse_address(address)
        self._spray = Spray(LoopClock(), random.Random(seed), stale_ms)
        self._http = HttpServer(self._handle)
        self._counts: dict[str, int] = {}

    async def start(self) -> dict[str, str]:
        """Open both sockets and return their addresses."""
        self._socket = await UdpSocket.bind(self._address, self._on_datagram)
        admin = await self._http.start((self._address[0], 0))
        return {
            "address": format_address(self._socket.address),
            "admin_address": format_address(admin),
        }

    async def close(self) -> None:
        """Close both sockets."""
        self._socket.close()
        await self._http.close()

    def _on_datagram(self, payload: bytes, sender: Address) -> None:
        target = self._spray.choose()
        if target is None:
            return
        self._counts[target.instance] = self._counts.get(target.instance, 0) + 1
        forwarded = _with_caller(payload, format_address(sender))
        self._socket.send(forwarded, parse_address(target.address))

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        call, _ = split_path(request)
        if call == "targets" and request.method == "PUT":
            update: _Targets = request.json(_Targets)
            if update.stale_ms is not None:
                self._spray.stale_ms = update.stale_ms
            self._spray.set_targets(update.targets)
            return HttpResponse({})
        if call == "counts":
            return HttpResponse(self._counts)
        raise HttpError(404, "http.no_such_call", request.path)


def _with_caller(payload: bytes, caller: str) -> bytes:
    try:
        datagram = decode_datagram(payload)
    except InputError:
        return payload
    return encode_datagram(msgspec.structs.replace(datagram, caller=caller))


def main(
    address: Annotated[str, typer.Option(help="Callers' address.")] = LOOPBACK,
    seed: Annotated[int, typer.Option(help="Seed of the spray.")] = 0,
    stale_ms: Annotated[
        int, typer.Option(help="How long a removed instance still receives datagrams.")
    ] = 0,
) -> None:
    """Spray datagrams until SIGTERM."""
    run(Fabric(address, seed, stale_ms))


if __name__ == "__main__":
    typer.run(main)
