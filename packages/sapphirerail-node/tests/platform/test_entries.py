import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import RequestKind
from sapphirerail_node.platform.entries import decode_configuration, decode_server

# The examples in the platform's documentation.
SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "osu",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "seqNo": 4,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "prefix": "/8080/",
            "kind": "unsafe",
            "timeoutMs": 601,
            "targetLatencyMs": 120,
            "priority": 1,
            "service": "huvo11a",
            "maxAttempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "kind": "safe",
            "timeoutMs": 501,
            "targetLatencyMs": 100,
            "priority": 2,
            "backends": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "maxAttempts": 2,
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConns": 4222,
            "protocol": "h1",
            "tls": False,
            "warmupS": 2.0,
            "warmupPerS": 7.5,
        }
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
}


def encode(table, **changes):
    return json.dumps(table | changes).encode()


def test_server_entry_is_decoded():
    entry = decode_server("i-7f3a91c2", encode(SERVER, born=1781557232631))
    assert entry.identity == 0x7F3A91C2
    assert (entry.service, entry.data_centre) == ("huvo11a", "osu")
    assert entry.started_at_ms == 1781557232631
    assert not entry.is_draining
    assert decode_server("i-1", encode(SERVER, state="draining")).is_draining
    assert decode_server("i-1", encode(SERVER, warmupLeftMs=1500)).cold_ms == 1500


def test_sequence_number_does_not_change_server_entry():
    one = decode_server("i-1", encode(SERVER, seqNo=4))
    assert one == decode_server("i-1", encode(SERVER, seqNo=5))


@pytest.mark.parametrize(
    "changes",
    [
        {"service": 5},
        {"address": "10.128.0.9"},
        {"address": "server-9:8080"},
        {"address": "10.128.0.9:99999"},
        {"address": None},
        {"slots": "two"},
        {"state": "resting"},
        {"zone": ["osu"]},
        {"born": "yesterday"},
        {"warmupLeftMs": "soon"},
    ],
)
def test_invalid_server_entries_are_rejected(changes):
    with pytest.raises(InputError, match="server.invalid"):
        decode_server("i-1", encode(SERVER, **changes))


@pytest.mark.parametrize("name", ["", "i-", "i-xyz", "i-" + "f" * 17])
def test_name_without_identity_is_rejected(name):
    with pytest.raises(InputError, match="server.invalid"):
        decode_server(name, encode(SERVER))


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_random_bytes_are_rejected(value):
    with pytest.raises(InputError):
        decode_server("i-1", value)
    with pytest.raises(InputError):
        decode_configuration(value)


def test_configuration_is_decoded():
    configuration = decode_configuration(encode(CONFIG))
    plain, weighted = configuration.routes
    assert plain.destination == 0xC6120001 << 16 | 8080
    assert plain.kind is RequestKind.UNSAFE
    assert [(s.service, s.weight) for s in plain.shares] == [("huvo11a", 1)]
    assert [s.weight for s in weighted.shares] == [90, 10]
    (service,) = configuration.services
    assert (service.cold_ms, service.n_cold_per_s) == (2_000, 7.5)
    assert (configuration.revision, configuration.flow_idle_ms) == (7, 15_000)


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "seven"},
        {"routes": [CONFIG["routes"][0] | {"host": "here"}]},
        {"routes": [CONFIG["routes"][0] | {"prefix": "/x/"}]},
        {"routes": [CONFIG["routes"][0] | {"service": None}]},
        {"routes": [CONFIG["routes"][0] | {"kind": "odd"}]},
        {"limits": {}},
    ],
)
def test_invalid_configuration_is_rejected(changes):
    with pytest.raises(InputError, match="configuration.invalid"):
        decode_configuration(encode(CONFIG, **changes))


def test_decoded_configuration_survives_json_encoding():
    configuration = decode_configuration(encode(CONFIG))
    payload = msgspec.json.encode(configuration)
    assert msgspec.json.decode(payload, type=type(configuration)) == configuration
