"""The backend server stand-in: one process with a datagram socket and an admin API."""

from typing import Annotated

import msgspec
import typer

from sapphirerail_core.datagram import Datagram
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

from .clock import LoopClock
from .history import HistoryEvent
from .process import LOOPBACK, run, split_path
from .server_model import ServerModel
from .server_settings import ServerSettings

__all__ = ["BackendServer", "ServerRecord"]


class ServerRecord(msgspec.Struct):
    """What a backend server recorded since it started."""

    server: str
    n_flows: int
    n_in_flight: int
    n_malformed: int
    events: list[HistoryEvent]


class BackendServer:
    """Runs a `ServerModel` behind a datagram socket and an admin API.

    ``GET /record`` returns a `ServerRecord`. ``GET /settings`` returns the settings
    and ``PUT /settings`` changes them. ``POST /cold`` makes the server cold,
    ``POST /forget`` drops its flows and requests, and ``POST /drain`` starts a drain.

    Parameters
    ----------
    settings : ServerSettings
        How the server behaves.
    address : str
        Address of the datagram socket.
    """

    def __init__(self, settings: ServerSettings, address: str = LOOPBACK) -> None:
        self._address = parse_address(address)
        self._settings = settings
        self._model = ServerModel(settings, LoopClock(), self._send)
        self._http = HttpServer(self._handle)
        self._n_malformed = 0

    async def start(self) -> dict[str, str]:
        """Open both sockets and return their addresses."""
        self._socket = await UdpSocket.bind(self._address, self._on_datagram)
        admin = await self._http.start((self._address[0], 0))
        return {
            "server": self._settings.server,
            "address": format_address(self._socket.address),
            "admin_address": format_address(admin),
        }

    async def close(self) -> None:
        """Close both sockets."""
        self._model.close()
        self._socket.close()
        await self._http.close()

    def _on_datagram(self, payload: bytes, sender: Address) -> None:
        try:
            datagram = decode_datagram(payload)
        except InputError:
            self._n_malformed += 1
            return
        self._model.on_datagram(datagram, format_address(sender))

    def _send(self, datagram: Datagram, address: str) -> None:
        self._socket.send(encode_datagram(datagram), parse_address(address))

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        call, _ = split_path(request)
        if call == "record":
            return HttpResponse(self._record())
        if call == "settings":
            return HttpResponse(self._change_settings(request))
        if call == "cold":
            self._model.turn_cold()
        elif call == "forget":
            self._model.drop_state()
        elif call == "drain":
            self._model.is_draining = True
        else:
            raise HttpError(404, "http.no_such_call", request.path)
        return HttpResponse({})

    def _record(self) -> ServerRecord:
        return ServerRecord(
            server=self._settings.server,
            n_flows=self._model.n_flows,
            n_in_flight=self._model.n_in_flight,
            n_malformed=self._n_malformed,
            events=self._model.events,
        )

    def _change_settings(self, request: HttpRequest) -> ServerSettings:
        if request.method == "PUT":
            changed = request.json(ServerSettings)
            for name in changed.__struct_fields__:
                setattr(self._settings, name, getattr(changed, name))
        return self._settings


def main(
    server: Annotated[str, typer.Option(help="Name of the server.")],
    service: Annotated[str, typer.Option(help="The service that it serves.")],
    address: Annotated[str, typer.Option(help="Datagram address.")] = LOOPBACK,
    settings: Annotated[
        str, typer.Option(help="Further fields of ServerSettings as JSON.")
    ] = "{}",
) -> None:
    """Serve one service until SIGTERM."""
    fields = msgspec.json.decode(settings, type=dict[str, msgspec.Raw])
    required = {"server": server, "service": service}
    document = msgspec.json.encode(required | fields)
    run(BackendServer(msgspec.json.decode(document, type=ServerSettings), address))


if __name__ == "__main__":
    typer.run(main)
