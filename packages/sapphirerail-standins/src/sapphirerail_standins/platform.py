"""Platform stand-in: key-value service, lagging instance list, faults, counts."""

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
LIST_CALL = "instances"
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
    """Injected faults of the platform.

    Parameters
    ----------
    down : bool
        Whether calls to the key-value service are aborted without an answer.
    list_down : bool
        Whether calls for the list of instances are aborted without an answer.
    delay_ms : int
        Delay of each call.
    lose_answers : int
        Number of next writes that are applied but get no answer.
    list_lag_ms : int
        Age of the list of instances that is returned.
    """

    down: bool = False
    list_down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    list_lag_ms: int = 0


class _Value(msgspec.Struct):
    value: str


class _LeaseTime(msgspec.Struct):
    ttl_ms: int


class Platform:
    """Serves the HTTP calls that ``docs/PLATFORM.md`` specifies.

    Parameters
    ----------
    address : str
        Address to listen on.
    """

    def __init__(self, address: str = LOOPBACK) -> None:
        self._address = parse_address(address)
        self._clock: Clock = LoopClock()
        self._store = KeyValueStore(self._clock)
        self._faults = Faults()
        self._counts: Counter[str] = Counter()
        self._lists: list[tuple[int, Instances]] = []
        self._server = HttpServer(self._handle)

    async def start(self) -> dict[str, str]:
        """Listen and return the address."""
        return {"address": format_address(await self._server.start(self._address))}

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        head, rest = split_path(request)
        if head == "admin":
            return self._admin(request, rest)
        self._counts[f"{request.method} {head}"] += 1
        self._abort_if_down(head)
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        value = await self._serve(request, head, unquote(rest))
        self._abort_if_down(head)
        if (head, request.method) in WRITES:
            self._lose_answer()
        return HttpResponse(value)

    def _abort_if_down(self, head: str) -> None:
        is_down = self._faults.down
        if head == LIST_CALL:
            is_down = self._faults.list_down
        if is_down:
            raise ConnectionAbortedError("the platform stand-in is set to be down")

    def _lose_answer(self) -> None:
        n_left = self._faults.lose_answers
        if n_left > 0:
            self._faults = msgspec.structs.replace(
                self._faults, lose_answers=n_left - 1
            )
            raise ConnectionAbortedError(
                "the platform stand-in is set to lose this answer"
            )

    async def _serve(self, request: HttpRequest, head: str, rest: str) -> object:
        if head == "kv":
            return self._key_value(request, rest)
        if head == "watch":
            return await self._watch(request, rest)
        if head == "lease":
            return self._lease(request, rest)
        if head == LIST_CALL and request.method == "GET":
            return self._list()
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
        raise HttpError(
            405,
            "http.method",
            f"{request.method} is not allowed; use GET, PUT or DELETE",
        )

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

    def _list(self) -> Instances:
        """Return the list as it was `list_lag_ms` ago."""
        shown_ms = self._clock.now_ms() - self._faults.list_lag_ms
        visible = [entry for at_ms, entry in self._lists if at_ms <= shown_ms]
        return visible[-1] if visible else Instances()

    def _admin(self, request: HttpRequest, call: str) -> HttpResponse:
        if call == "instances" and request.method == "PUT":
            self._lists.append((self._clock.now_ms(), request.json(Instances)))
            return HttpResponse({})
        if call == "faults" and request.method == "PUT":
            self._faults = request.json(Faults)
            if self._faults.down:
                self._store.abort_watches()
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
        raise HttpError(
            400,
            "http.bad_query",
            f"query parameter {name} must be a number, not {text!r}",
        )
    return int(text)


def main(address: str = LOOPBACK) -> None:
    """Serve the platform's calls until SIGTERM."""
    run(Platform(address))


if __name__ == "__main__":
    typer.run(main)
