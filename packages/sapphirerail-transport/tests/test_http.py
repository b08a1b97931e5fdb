import asyncio

import pytest

from sapphirerail_transport.http import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.signature import Signer


async def _echo(request: HttpRequest) -> HttpResponse:
    if request.path == "/fail":
        raise HttpError(409, "test.conflict", "always")
    if request.path == "/json":
        return HttpResponse(request.json(dict[str, int]))
    if request.path == "/text":
        return HttpResponse(b"plain")
    if request.path == "/bug":
        raise KeyError("a fault of the handler")
    return HttpResponse({"path": request.path, "query": request.query})


def _call(target, value=None, *, server_key=None, client_key=None, body_max_bytes=1000):
    async def scenario():
        signer = Signer(server_key) if server_key else None
        server = HttpServer(_echo, signer, body_max_bytes=body_max_bytes)
        address = await server.start(("127.0.0.1", 0))
        client = HttpClient(address, Signer(client_key) if client_key else None)
        try:
            return await client.call("POST", target, value)
        finally:
            await server.close()

    return asyncio.run(scenario())


def test_query_is_decoded():
    assert _call("/a?b=c") == b'{"path":"/a","query":{"b":"c"}}'


def test_bytes_are_sent_unchanged():
    assert _call("/text") == b"plain"


def test_exception_of_a_handler_is_answered_and_logged(caplog):
    with pytest.raises(HttpError) as caught:
        _call("/bug")
    assert (caught.value.status, caught.value.code) == (500, "http.failed")
    assert "a fault of the handler" in caplog.text


def test_signed_request_is_served():
    assert _call("/a", server_key="k", client_key="k")


@pytest.mark.parametrize(
    ("target", "value", "keys", "status", "code"),
    [
        ("/fail", None, (None, None), 409, "test.conflict"),
        ("/json", ["x"], (None, None), 400, "http.bad_body"),
        ("/json", "x" * 2000, (None, None), 413, "http.too_large"),
        ("/a", None, ("k", None), 401, "http.unsigned"),
        ("/a", None, ("k", "other"), 401, "http.unsigned"),
    ],
)
def test_refused_request_has_its_status_and_code(target, value, keys, status, code):
    with pytest.raises(HttpError) as refused:
        _call(target, value, server_key=keys[0], client_key=keys[1])
    assert (refused.value.status, refused.value.code) == (status, code)


def test_unreachable_server_raises():
    async def scenario():
        server = HttpServer(_echo)
        address = await server.start(("127.0.0.1", 0))
        await server.close()
        await HttpClient(address).call("GET", "/")

    with pytest.raises(HttpError) as refused:
        asyncio.run(scenario())
    assert (refused.value.status, refused.value.code) == (0, "http.unreachable")


def test_connection_closed_without_a_response_has_a_clear_message():
    async def cut(reader, writer):
        await reader.readline()
        writer.close()

    async def scenario():
        server = await asyncio.start_server(cut, "127.0.0.1", 0)
        async with server:
            await HttpClient(server.sockets[0].getsockname()).call("GET", "/")

    with pytest.raises(HttpError) as refused:
        asyncio.run(scenario())
    assert refused.value.code == "http.unreachable"
    assert "ended without an answer" in str(refused.value)


def test_response_of_another_type_is_refused():
    async def scenario(kind):
        server = HttpServer(_echo)
        address = await server.start(("127.0.0.1", 0))
        try:
            return await HttpClient(address).call_json(kind, "POST", "/json", {"a": 1})
        finally:
            await server.close()

    assert asyncio.run(scenario(dict[str, int])) == {"a": 1}
    with pytest.raises(HttpError) as caught:
        asyncio.run(scenario(list[str]))
    assert (caught.value.status, caught.value.code) == (0, "http.bad_answer")
