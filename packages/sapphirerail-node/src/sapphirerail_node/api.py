"""HTTP API of one instance for operators and peers, with signed requests."""

import socket
from collections.abc import Awaitable, Callable

from sapphirerail_transport.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.signature import Signer

__all__ = ["Api", "ApiHandler"]

BODY_MAX_BYTES = 1024 * 1024
ApiHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Api:
    """Dispatches requests to handlers by method and path.

    Parameters
    ----------
    signer : Signer
        Verifies the signature of every request.
    """

    def __init__(self, signer: Signer) -> None:
        self._handlers: dict[tuple[str, str], ApiHandler] = {}
        self._server = HttpServer(self._handle, signer, BODY_MAX_BYTES)

    def mount(self, method: str, path: str, handler: ApiHandler) -> None:
        """Register the handler of a method and path."""
        self._handlers[method, path] = handler

    async def open(self, bound: socket.socket) -> None:
        """Start listening on a bound socket."""
        await self._server.listen_on(bound)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        handler = self._handlers.get((request.method, request.path))
        if handler is not None:
            return await handler(request)
        paths = sorted({path for _, path in self._handlers})
        if request.path in paths:
            raise HttpError(405, "api.method", f"{request.method} is not allowed")
        raise HttpError(404, "api.path", "known paths are " + ", ".join(paths))
