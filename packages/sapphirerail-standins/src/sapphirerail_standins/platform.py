"""The platform stand-in: key-value service, lagging list, faults, counts."""

import asyncio
from collections import Counter
from urllib.parse import unquote

import msgspec
import typer

from sapphirerail_transport.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.udp import format_address, parse_address

from .clock import Clock, LoopClock
from .key_value import KeyValueStore
from .process import LOOPBACK, run, split_path

__all__ = ["Faults", "InstanceEntry", "Instances", "Platform"]

WATCH_TIMEOUT_MS = 30_000
WRITES = {("kv", "PUT"), ("kv", "DELETE")}


class InstanceEntry(msgspec.Struct, frozen=True):
    """One instance on the platform's list."""

    instance: str
    data_centre: str
    peer_address: str
    api_address: str
    state: str = "live"


class Instances(msgspec.Struct, frozen=True):
    """The list of instances."""

    instances: list[InstanceEntry] = []


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """What goes wrong with the platform.

    Parameters
    ----------
    down : bool
        Whether each call is cut without an answer.
    delay_ms : int
        Time by which each call is slowed.
    lose_answers : int
        How many of the next writes take effect but get no answer.
    list_lag_ms : int
        Time by which the list of instances is behind.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    list_lag_ms: int = 0


class _Value(msgspec.Struct):
    value: str


class _LeaseTime(msgspec.Struct):
    ttl_ms: int


class Platform:
    """Serves the calls of ``docs/PLATFORM.md``.

    Parameters
    ----------
    address : str
        Address to listen on.
    views : list of str
        Names of further listeners, each with an instance list of its own, so that
        each data centre can be given its own way to the others.
    """

    def __init__(self, address: str = LOOPBACK, views: list[str] | None = None) -> None:
        self._address = parse_address(address)
        self._views = views or []
        self._clock: Clock = LoopClock()
        self._store = KeyValueStore(self._clock)
        self._faults = Faults()
        self._counts: Counter[str] = Counter()
        self._lists: dict[str, list[tuple[int, Instances]]] = {}
        self._servers: list[HttpServer] = []

    async def start(self) -> dict[str, str]:
        """Listen and return the addresses of the listeners."""
        addresses = {"address": await self._listen("", self._address)}
        for view in self._views:
            any_port = (self._address[0], 0)
            addresses[view] = await self._listen(view, any_port)
        return addresses

    async def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            await server.close()

    async def _listen(self, view: str, address: tuple[str, int]) -> str:
        async def handle(request: HttpRequest) -> HttpResponse:
            return await self._handle(request, view)

        server = HttpServer(handle)
        self._servers.append(server)
        return format_address(await server.start(address))

    async def _handle(self, request: HttpRequest, view: str) -> HttpResponse:
        head, rest = split_path(request)
        if head == "admin":
            return self._admin(request, rest)
        self._counts[f"{request.method} {head}"] += 1
        self._cut_if_down()
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        value = await self._serve(request, head, unquote(rest), view)
        self._cut_if_down()
        if (head, request.method) in WRITES:
            self._lose_answer()
        return HttpResponse(value)

    def _cut_if_down(self) -> None:
        if self._faults.down:
            raise ConnectionAbortedError("the platform is down")

    def _lose_answer(self) -> None:
        n_left = self._faults.lose_answers
        if n_left > 0:
            self._faults = msgspec.structs.replace(
                self._faults, lose_answers=n_left - 1
            )
            raise ConnectionAbortedError("the answer is lost")

    async def _serve(
        self, request: HttpRequest, head: str, rest: str, view: str
    ) -> object:
        if head == "kv":
            return self._key_value(request, rest)
        if head == "watch":
            return await self._watch(request, rest)
        if head == "lease":
            return self._lease(request, rest)
        if head == "instances" and request.method == "GET":
            return self._list(view)
        raise HttpError(404, "http.no_such_call", f"{request.method} {request.path}")

    def _key_value(self, request: HttpRequest, key: str) -> object:
        version = _number(request, "version")
        if request.method == "GET":
            return self._store.get(key)
        if request.method == "PUT":
            value = request.json(_Value).value
            lease = request.query.get("lease", "")
            return {"version": self._store.put(key, value, version, lease)}
        if request.method == "DELETE":
            self._store.delete(key, version)
            return {}
        raise HttpError(405, "http.method", "use GET, PUT or DELETE")

    async def _watch(self, request: HttpRequest, key: str) -> object:
        version = _number(request, "version")
        timeout_ms = _number(request, "timeout_ms", WATCH_TIMEOUT_MS)
        stored = await self._store.watch(key, version, timeout_ms)
        if stored is None:
            return {"value": None, "version": version}
        return stored

    def _lease(self, request: HttpRequest, rest: str) -> object:
        name, _, action = rest.partition("/")
        if request.method == "POST" and not name:
            return {"lease": self._store.grant(request.json(_LeaseTime).ttl_ms)}
        if request.method == "POST" and action == "renew":
            self._store.renew(name)
            return {}
        if request.method == "DELETE":
            self._store.revoke(name)
            return {}
        raise HttpError(404, "http.no_such_call", f"{request.method} {request.path}")

    def _list(self, view: str) -> Instances:
        """Return the list as it was before the lag."""
        shown_ms = self._clock.now_ms() - self._faults.list_lag_ms
        history = self._lists.get(view) or self._lists.get("", [])
        told = [entry for at_ms, entry in history if at_ms <= shown_ms]
        return told[-1] if told else Instances()

    def _admin(self, request: HttpRequest, call: str) -> HttpResponse:
        if call == "instances" and request.method == "PUT":
            history = self._lists.setdefault(request.query.get("view", ""), [])
            history.append((self._clock.now_ms(), request.json(Instances)))
            return HttpResponse({})
        if call == "faults" and request.method == "PUT":
            self._faults = request.json(Faults)
            if self._faults.down:
                self._store.cut_watches()
            return HttpResponse({})
        if call == "counts":
            calls = dict(self._counts)
            return HttpResponse({"calls": calls, "n_waiting": self._store.n_waiting})
        if call == "writes":
            return HttpResponse(self._store.writes)
        raise HttpError(404, "http.no_such_call", f"{request.method} {request.path}")


def _number(request: HttpRequest, name: str, default: int = 0) -> int:
    text = request.query.get(name, str(default))
    if not text.isdigit():
        raise HttpError(400, "http.bad_query", f"{name} is not a number: {text!r}")
    return int(text)


def main(address: str = LOOPBACK, view: list[str] | None = None) -> None:
    """Serve the platform's calls until SIGTERM."""
    run(Platform(address, view))


if __name__ == "__main__":
    typer.run(main)
