"""The fault-injecting link: relays for datagrams and streams in one process."""

from enum import Enum
from fnmatch import fnmatchcase
from typing import Annotated

import msgspec
import typer

from sapphirerail_transport.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.udp import format_address, parse_address

from .clock import LoopClock
from .link_faults import FaultRule, FaultRules
from .process import LOOPBACK, run, split_path
from .tcp_relay import TcpRelay
from .udp_relay import UdpRelay

__all__ = ["Link", "Protocol", "RelaySpec"]


class Protocol(Enum):
    """Transport protocol that a relay forwards."""

    UDP = "udp"
    TCP = "tcp"


class RelaySpec(msgspec.Struct, frozen=True):
    """A relay to open, or the new target of an existing relay.

    Parameters
    ----------
    name : str
        Name that fault rules match.
    target : str
        ``address:port`` that it forwards to; empty if not known yet.
    protocol : Protocol
        Transport protocol that it forwards.
    """

    name: str
    target: str = ""
    protocol: Protocol = Protocol.UDP


class _BlackholeRequest(msgspec.Struct):
    relay: str = "*"


class Link:
    """Opens relays and injects faults, driven by an admin API.

    ``POST /relays`` with a `RelaySpec` opens a relay and returns its address, ``PUT
    /relays`` changes the target of an existing relay, ``POST /faults`` adds a
    `FaultRule`, ``DELETE /faults`` removes all rules, and ``POST /silence``
    black-holes the flows and connections that the matching relays have seen: they are
    dropped permanently without an error, while new ones pass.

    Parameters
    ----------
    seed : int
        Seed of the random faults.
    """

    def __init__(self, seed: int = 0) -> None:
        self._rules = FaultRules(seed)
        self._relays: dict[str, UdpRelay | TcpRelay] = {}
        self._http = HttpServer(self._handle)

    async def start(self) -> dict[str, str]:
        """Open the admin socket and return its address."""
        admin = await self._http.start(parse_address(LOOPBACK))
        return {"admin_address": format_address(admin)}

    async def close(self) -> None:
        """Close all relays."""
        await self._http.close()
        for relay in self._relays.values():
            await relay.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        call, _ = split_path(request)
        if call == "relays" and request.method == "POST":
            return HttpResponse({"address": await self._open(request.json(RelaySpec))})
        if call == "relays" and request.method == "PUT":
            self._retarget(request.json(RelaySpec))
        elif call == "faults" and request.method == "POST":
            self._rules.add(request.json(FaultRule))
        elif call == "faults" and request.method == "DELETE":
            self._rules.clear()
        elif call == "silence":
            self._blackhole(request.json(_BlackholeRequest).relay)
        else:
            raise HttpError(404, "http.no_such_call", request.path)
        return HttpResponse({})

    async def _open(self, spec: RelaySpec) -> str:
        target = parse_address(spec.target) if spec.target else None
        relay: UdpRelay | TcpRelay
        if spec.protocol is Protocol.UDP:
            relay = UdpRelay(spec.name, target, self._rules, LoopClock())
        else:
            relay = TcpRelay(spec.name, target, self._rules)
        self._relays[spec.name] = relay
        return format_address(await relay.start(parse_address(LOOPBACK)))

    def _retarget(self, spec: RelaySpec) -> None:
        relay = self._relays.get(spec.name)
        if relay is None:
            raise HttpError(404, "link.no_such_relay", spec.name)
        relay.target = parse_address(spec.target)

    def _blackhole(self, pattern: str) -> None:
        for relay in self._relays.values():
            if fnmatchcase(relay.name, pattern):
                relay.blackhole()


def main(
    seed: Annotated[int, typer.Option(help="Seed of the random faults.")] = 0,
) -> None:
    """Relay datagrams and streams until SIGTERM."""
    run(Link(seed))


if __name__ == "__main__":
    typer.run(main)
