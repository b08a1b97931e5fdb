"""HTTP/1.1 client and server with JSON bodies, on asyncio streams and h11."""

from __future__ import annotations

import asyncio
import logging
import socket
import zlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeVar

import h11
import msgspec

from sapphirerail_core.errors import SapphirerailError

from .udp import Address

if TYPE_CHECKING:
    # Not imported at run time: hashlib loads a large library, which processes
    # without a key do not need.
    from .signature import Signer

AnswerT = TypeVar("AnswerT")

__all__ = [
    "SIGNATURE_HEADER",
    "HttpClient",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
]

_log = logging.getLogger(__name__)

SIGNATURE_HEADER = "x-sapphirerail-signature"
BODY_MAX_BYTES = 16 * 1024 * 1024
READ_BYTES = 65536
# Bounds a response whose parts keep restarting its timeout: the largest value that the
# platform's store holds passes over a link of 2.5 Mbit/s in a quarter of this time.
TRANSFER_MAX_MS = 20_000
# Content coding of compressed responses (zlib format), and from which size on.
DEFLATE = "deflate"
DEFLATE_MIN_BYTES = 1_024


class HttpError(SapphirerailError):
    """A failed call, or the status that a handler refuses a request with.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no response.
    code : str
        Stable identifier.
    message : str
        Description of the error.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(code, message)
        self.status = status


class HttpRequest(msgspec.Struct, frozen=True):
    """A request with its path, its decoded query and its body."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def json(self, kind: type[Any]) -> Any:
        """Decode the body as JSON of a type, or raise `HttpError` with status 400."""
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.MsgspecError as error:
            raise HttpError(400, "http.bad_body", str(error)) from error


class HttpResponse(msgspec.Struct, frozen=True):
    """A status and a value; bytes are sent as plain text, other values as JSON."""

    value: Any = None
    status: int = 200


class ErrorBody(msgspec.Struct):
    """JSON body of a response to a refused request."""

    code: str
    message: str


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def _signed_part(method: str, target: str, body: bytes) -> bytes:
    """Return the bytes of a request that its signature covers."""
    return f"{method} {target}\n".encode() + body


class HttpServer:
    """HTTP server with one handler; refuses unsigned requests if it has a signer.

    Parameters
    ----------
    handler : callable
        Returns the response to a request, or raises `HttpError`.
    signer : Signer or None
        Checks the signatures of requests; None accepts unsigned requests.
    body_max_bytes : int
        Maximum size of a body; larger ones are refused with status 413.
    """

    def __init__(
        self,
        handler: Handler,
        signer: Signer | None = None,
        body_max_bytes: int = BODY_MAX_BYTES,
    ) -> None:
        self._handler = handler
        self._signer = signer
        self._body_max_bytes = body_max_bytes
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> Address:
        """Listen on an address and return the address that was bound."""
        self._server = await asyncio.start_server(self._on_connection, *address)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def listen_on(self, bound: socket.socket) -> None:
        """Listen on a socket that is already bound."""
        self._server = await asyncio.start_server(self._on_connection, sock=bound)

    async def close(self) -> None:
        """Stop listening and cancel the open connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            received = await self._receive(connection, reader)
            if received is None:
                return
            response = await self._answer(*received)
            accepts_deflate = _accepts_deflate(received[0])
            writer.write(_encode_response(connection, response, accepts_deflate))
            await writer.drain()
            if connection.our_state is h11.MUST_CLOSE:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _receive(
        self, connection: h11.Connection, reader: asyncio.StreamReader
    ) -> tuple[h11.Request, bytes | None] | None:
        """Return the next request, with body None if the body is too large.

        Returns None if the client closed the connection.
        """
        request: h11.Request | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._body_max_bytes and request is not None:
                    return request, None
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request, bytes(body)
            else:
                return None

    async def _answer(self, head: h11.Request, body: bytes | None) -> HttpResponse:
        if body is None:
            limit = f"the body has more than {self._body_max_bytes} bytes"
            return _refusal(HttpError(413, "http.too_large", limit))
        try:
            self._check_signature(head, body)
            return await self._handler(_parse_request(head, body))
        except HttpError as error:
            return _refusal(error)
        except SapphirerailError as error:
            return _refusal(HttpError(422, error.code, error.message))
        except ConnectionError:
            # A handler raises this to close the connection without a response.
            raise
        except Exception:
            _log.exception("handler of %s failed", head.target.decode())
            return _refusal(HttpError(500, "http.failed", "the handler failed"))

    def _check_signature(self, head: h11.Request, body: bytes) -> None:
        if self._signer is None:
            return
        signature = dict(head.headers).get(SIGNATURE_HEADER.encode(), b"")
        signed = _signed_part(head.method.decode(), head.target.decode(), body)
        if signature != self._signer.tag(signed).hex().encode():
            raise HttpError(
                401,
                "http.unsigned",
                "missing or wrong signature; sign the request with the shared key",
            )


def _parse_request(head: h11.Request, body: bytes) -> HttpRequest:
    path, _, text = head.target.decode().partition("?")
    query = {}
    if text:
        # Imported on first use: the module would take a twentieth of the memory of a
        # process that never receives a query.
        from urllib.parse import parse_qsl

        query = dict(parse_qsl(text, keep_blank_values=True))
    return HttpRequest(head.method.decode(), path, query, body)


def _refusal(error: HttpError) -> HttpResponse:
    return HttpResponse(ErrorBody(error.code, error.message), error.status)


def _accepts_deflate(head: h11.Request) -> bool:
    return dict(head.headers).get(b"accept-encoding") == DEFLATE.encode()


def _encode_response(
    connection: h11.Connection, response: HttpResponse, accepts_deflate: bool
) -> bytes:
    is_text = isinstance(response.value, bytes)
    body = response.value if is_text else msgspec.json.encode(response.value)
    headers = [("content-type", "text/plain" if is_text else "application/json")]
    if accepts_deflate and len(body) >= DEFLATE_MIN_BYTES:
        body = zlib.compress(body)
        headers.append(("content-encoding", DEFLATE))
    headers.append(("content-length", str(len(body))))
    head = connection.send(h11.Response(status_code=response.status, headers=headers))
    data = connection.send(h11.Data(data=body))
    end = connection.send(h11.EndOfMessage())
    return b"".join(part for part in (head, data, end) if part)


class HttpClient:
    """HTTP client that opens one connection per call.

    Parameters
    ----------
    address : tuple of str and int
        Host and port of the server.
    signer : Signer or None
        Signs each request; None sends unsigned requests.
    accepts_deflate : bool
        Whether the server may compress its responses.
    """

    def __init__(
        self,
        address: Address,
        signer: Signer | None = None,
        *,
        accepts_deflate: bool = False,
    ) -> None:
        self.address = address
        self._signer = signer
        self._accepts_deflate = accepts_deflate

    async def call(
        self,
        method: str,
        target: str,
        value: Any = None,
        *,
        timeout_ms: int = 5000,
        is_restarted_by_data: bool = False,
    ) -> bytes:
        """Send a request and return the body of the successful response.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path and query.
        value : object
            Encoded as the JSON body; None sends an empty body.
        timeout_ms : int
            Timeout of the whole call, in milliseconds.
        is_restarted_by_data : bool
            Whether the timeout starts again with each part of the response, so that a
            large response can pass over a slow link; at most until
            `TRANSFER_MAX_MS`.

        Returns
        -------
        bytes
            Body of the response.

        Raises
        ------
        HttpError
            With status 0 and ``http.unreachable`` or ``http.timeout`` if there was
            no response, else with the status and code of the error response.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + TRANSFER_MAX_MS / 1000
        try:
            async with asyncio.timeout(timeout_ms / 1000) as timeout:

                def restart() -> None:
                    if is_restarted_by_data:
                        at_s = loop.time() + timeout_ms / 1000
                        timeout.reschedule(min(at_s, ends_at_s))

                status, answer = await self._exchange(method, target, body, restart)
        except TimeoutError as error:
            text = f"no response within {timeout_ms} ms"
            raise HttpError(0, "http.timeout", text) from error
        except (OSError, h11.ProtocolError) as error:
            raise HttpError(0, "http.unreachable", str(error)) from error
        if status >= 400:
            raise _error_from(status, answer)
        return answer

    async def call_json(
        self,
        kind: type[AnswerT],
        method: str,
        target: str,
        value: Any = None,
        *,
        timeout_ms: int = 5000,
        is_restarted_by_data: bool = False,
    ) -> AnswerT:
        """Send a request and decode the JSON body of the successful response.

        Raises
        ------
        HttpError
            As `call` does, and with status 0 and ``http.bad_answer`` if the body is
            not JSON of the type.
        """
        body = await self.call(
            method,
            target,
            value,
            timeout_ms=timeout_ms,
            is_restarted_by_data=is_restarted_by_data,
        )
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise HttpError(0, "http.bad_answer", str(error)) from error

    async def _exchange(
        self, method: str, target: str, body: bytes, on_data: Callable[[], None]
    ) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            connection = h11.Connection(h11.CLIENT)
            writer.write(self._encode_request(connection, method, target, body))
            await writer.drain()
            return await _read_response(connection, reader, on_data)
        finally:
            writer.close()

    def _encode_request(
        self, connection: h11.Connection, method: str, target: str, body: bytes
    ) -> bytes:
        headers = [
            ("host", self.address[0]),
            ("connection", "close"),
            ("content-length", str(len(body))),
        ]
        if self._accepts_deflate:
            headers.append(("accept-encoding", DEFLATE))
        if self._signer is not None:
            tag = self._signer.tag(_signed_part(method, target, body))
            headers.append((SIGNATURE_HEADER, tag.hex()))
        head = connection.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        data = connection.send(h11.Data(data=body))
        end = connection.send(h11.EndOfMessage())
        return b"".join(part for part in (head, data, end) if part)


async def _read_response(
    connection: h11.Connection,
    reader: asyncio.StreamReader,
    on_data: Callable[[], None],
) -> tuple[int, bytes]:
    status = 0
    is_compressed = False
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(READ_BYTES)
            if not data and not status:
                # The message of h11 for this case names only its internal states.
                raise ConnectionError("the connection ended without an answer")
            on_data()
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
            is_compressed = (b"content-encoding", DEFLATE.encode()) in event.headers
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, _decompress(body) if is_compressed else bytes(body)
        else:
            raise ConnectionError(
                "the connection closed before the response was complete"
            )


def _decompress(body: bytearray) -> bytes:
    try:
        return zlib.decompressobj().decompress(body, BODY_MAX_BYTES)
    except zlib.error as error:
        raise ConnectionError(f"the response cannot be decompressed: {error}") from None


def _error_from(status: int, body: bytes) -> HttpError:
    try:
        decoded = msgspec.json.decode(body, type=ErrorBody)
    except msgspec.MsgspecError:
        return HttpError(status, "http.status", f"the server answered status {status}")
    return HttpError(status, decoded.code, decoded.message)
