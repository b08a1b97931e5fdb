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


async def _call_slow_server(parts, gap_s, **options):
    """Call a server that sends its response in parts, with a pause before each."""

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                await asyncio.sleep(gap_s)
                writer.write(part)
            await reader.read()
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        client = HttpClient(server.sockets[0].getsockname()[:2])
        return await client.call("GET", "/", **options)
    finally:
        server.close()


SLOW_PARTS = [b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n", *[b"x"] * 4]


def test_timeout_may_start_again_with_each_part_of_a_response():
    body = asyncio.run(
        _call_slow_server(SLOW_PARTS, 0.1, timeout_ms=300, is_restarted_by_data=True)
    )
    assert body == b"xxxx"


@pytest.mark.parametrize("parts", [SLOW_PARTS[:3], []])
def test_response_that_stops_coming_times_out(parts):
    with pytest.raises(HttpError, match="no response"):
        asyncio.run(
            _call_slow_server(parts, 0.05, timeout_ms=200, is_restarted_by_data=True)
        )


def test_response_that_trickles_for_ever_times_out(monkeypatch):
    monkeypatch.setattr("sapphirerail_transport.http.TRANSFER_MAX_MS", 300)
    with pytest.raises(HttpError, match="no response"):
        asyncio.run(
            _call_slow_server(
                SLOW_PARTS, 0.1, timeout_ms=200, is_restarted_by_data=True
            )
        )


@pytest.mark.parametrize("size", [10, 100_000])
def test_large_responses_are_compressed_for_clients_that_accept_it(size):
    sent = []

    async def scenario():
        async def answer(request):
            return HttpResponse(b"x" * size)

        server = HttpServer(answer)
        address = await server.start(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            b"GET / HTTP/1.1\r\nhost: a\r\naccept-encoding: deflate\r\n"
            b"connection: close\r\n\r\n"
        )
        sent.append(await reader.read())
        writer.close()
        await writer.wait_closed()
        client = HttpClient(address, accepts_deflate=True)
        try:
            return await client.call("GET", "/")
        finally:
            await server.close()

    assert asyncio.run(scenario()) == b"x" * size
    assert len(sent[0]) < 1_000
