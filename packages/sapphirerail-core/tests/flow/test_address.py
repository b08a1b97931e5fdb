import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.flow.address import NO_ADDRESS, pack_address, unpack_address


@settings(derandomize=True, deadline=None)
@given(st.ip_addresses(v=4), st.integers(1, 65_535))
def test_addresses_survive_a_round_trip(host: object, port: int) -> None:
    assert unpack_address(pack_address(f"{host}:{port}")) == f"{host}:{port}"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "10.0.0.1",
        "10.0.0:80",
        "10.0.0.300:80",
        "a.b.c.d:1",
        "1.2.3.4:99999",
        "1.-2.3.4:5",
    ],
)
def test_invalid_addresses_are_packed_as_none(text: str) -> None:
    assert pack_address(text) == NO_ADDRESS
    assert unpack_address(NO_ADDRESS) == ""
