import asyncio
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_node.api import Api
from sapphirerail_transport.http import HttpClient, HttpError, HttpResponse
from sapphirerail_transport.signature import Signer

_SIGNER = Signer("a key of tests")


async def _answer(request):
    return HttpResponse({"path": request.path})


def _bound_socket():
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setblocking(False)
    bound.bind(("127.0.0.1", 0))
    return bound


async def _run_with_api(scenario):
    api = Api(_SIGNER)
    api.mount("GET", "/status", _answer)
    bound = _bound_socket()
    await api.open(bound)
    try:
        return await scenario(bound.getsockname())
    finally:
        await api.close()


def _call(method, path, signer=_SIGNER):
    async def scenario(address):
        return await HttpClient(address, signer).call(method, path)

    return asyncio.run(_run_with_api(scenario))


def test_mounted_path_reaches_its_handler():
    assert _call("GET", "/status") == b'{"path":"/status"}'


@pytest.mark.parametrize(
    ("method", "path", "signer", "status", "code"),
    [
        ("GET", "/nothing", _SIGNER, 404, "api.path"),
        ("POST", "/status", _SIGNER, 405, "api.method"),
        ("GET", "/status", None, 401, "http.unsigned"),
        ("GET", "/status", Signer("other key"), 401, "http.unsigned"),
    ],
)
def test_unknown_path_method_or_signature_is_refused(
    method, path, signer, status, code
):
    with pytest.raises(HttpError) as refused:
        _call(method, path, signer)
    assert (refused.value.status, refused.value.code) == (status, code)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(max_size=400))
def test_malformed_http_does_not_stop_the_api(payload):
    async def scenario(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(payload)
        writer.write_eof()
        try:
            await reader.read()
        except ConnectionError:
            pass
        writer.close()
        return await HttpClient(address, _SIGNER).call("GET", "/status")

    assert asyncio.run(_run_with_api(scenario)) == b'{"path":"/status"}'
