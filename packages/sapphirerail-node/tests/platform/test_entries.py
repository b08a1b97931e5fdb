import copy
import json

import msgspec
import pytest
from hypothesis import example, given, settings
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
        {"version": 1},
        {"seqNo": "four"},
    ],
)
def test_invalid_server_entries_are_rejected(changes):
    with pytest.raises(InputError, match="server.invalid"):
        decode_server("i-1", encode(SERVER, **changes))


@pytest.mark.parametrize("field", SERVER)
def test_incomplete_server_entries_are_rejected(field):
    # Guards against an entry of another writer that took the address of a live server.
    incomplete = {name: value for name, value in SERVER.items() if name != field}
    with pytest.raises(InputError, match="server.invalid"):
        decode_server("i-1", json.dumps(incomplete).encode())


@pytest.mark.parametrize("name", ["", "i-", "i-xyz", "i-" + "f" * 17])
def test_name_without_identity_is_rejected(name):
    with pytest.raises(InputError, match="server.invalid"):
        decode_server(name, encode(SERVER))


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
@example(b"[" * 100_000)
@example(b'{"version": 1, "routes": ' + b"[" * 100_000)
def test_random_bytes_are_rejected(value):
    # Deep nesting once raised an error that stopped all reads of the store.
    with pytest.raises(InputError):
        decode_server("i-1", value)
    with pytest.raises(InputError):
        decode_configuration(value)


@pytest.mark.parametrize("field", ["slots", "warmupLeftMs", "born"])
def test_numbers_too_large_for_messages_between_instances_are_rejected(field):
    for number in (2**63, 10**400, -1, 1e308):
        with pytest.raises(InputError, match="server.invalid"):
            decode_server("i-1", encode(SERVER, **{field: number}))


def test_configuration_is_decoded():
    configuration, malformed = decode(CONFIG)
    plain, weighted = configuration.routes
    assert plain.destination == 0xC6120001 << 16 | 8080
    assert plain.kind is RequestKind.UNSAFE
    assert [(s.service, s.weight) for s in plain.shares] == [("huvo11a", 1)]
    assert [s.weight for s in weighted.shares] == [90, 10]
    (service,) = configuration.services
    assert (service.cold_ms, service.n_cold_per_s) == (2_000, 7.5)
    assert (configuration.revision, configuration.flow_idle_ms) == (7, 15_000)
    assert malformed == ()


def decode(table, previous=None):
    decoded = decode_configuration(json.dumps(table).encode(), previous)
    return decoded.configuration, decoded.malformed


def with_route(**changes):
    """Return the example configuration with its first route changed."""
    return CONFIG | {"routes": [CONFIG["routes"][0] | changes, CONFIG["routes"][1]]}


@pytest.mark.parametrize(
    ("word", "kind", "is_idempotent"),
    [
        ("safe", RequestKind.SAFE, True),
        ("download", RequestKind.DOWNLOAD, True),
        ("unsafe", RequestKind.UNSAFE, False),
        ("upload", RequestKind.UPLOAD, False),
    ],
)
def test_each_kind_of_request_is_decoded(word, kind, is_idempotent):
    configuration, malformed = decode(with_route(kind=word))
    assert configuration.routes[0].kind is kind
    assert kind.is_idempotent is is_idempotent
    assert malformed == ()


@pytest.mark.parametrize("kind", ["odd", None, 5, ["safe"]])
def test_route_of_unknown_kind_is_served_without_repetitions(kind):
    # Guards against the refusal of the whole configuration: one route of a kind that
    # was not known stopped a deployment.
    configuration, (part,) = decode(with_route(kind=kind))
    route = configuration.routes[0]
    assert (route.kind, len(route.shares)) == (RequestKind.UNSAFE, 1)
    assert (part.kind, part.name, part.served_instead) == ("route", "r-1", "unsafe")
    assert len(configuration.routes) == 2


@pytest.mark.parametrize(
    "changes",
    [
        {"host": "here"},
        {"prefix": "/x/"},
        {"prefix": "/70000/"},
        {"service": None},
        {"service": None, "backends": [{"service": "huvo11a", "weight": 0}]},
        {"service": None, "backends": [{"service": "huvo11a", "weight": -1}]},
        {"backends": "huvo11a"},
    ],
)
def test_malformed_route_keeps_the_one_in_force(changes):
    in_force, _ = decode(CONFIG)
    table = with_route(**changes) | {"version": 8}
    configuration, (part,) = decode(table, in_force)
    assert configuration.routes == in_force.routes
    assert configuration.revision == 8
    assert (part.kind, part.name) == ("route", "r-1")
    assert part.served_instead == "route in force r-1"


def test_new_malformed_route_is_lost_alone():
    configuration, (part,) = decode(with_route(host="here"))
    assert [route.name for route in configuration.routes] == ["r-2"]
    assert part.served_instead == "nothing"


def test_new_route_without_a_target_is_known_but_has_no_shares():
    # So its callers are told that the route is invalid, not that there is none.
    configuration, _ = decode(with_route(service=None))
    assert [len(route.shares) for route in configuration.routes] == [0, 2]


def test_a_backend_without_weight_gets_nothing():
    table = copy.deepcopy(CONFIG)
    table["routes"][1]["backends"][0]["weight"] = 0
    configuration, _ = decode(table)
    assert [s.service for s in configuration.routes[1].shares] == ["wuno96b"]


def test_of_two_routes_with_one_address_the_first_is_used():
    table = copy.deepcopy(CONFIG)
    table["routes"].append(table["routes"][0] | {"name": "r-3"})
    configuration, (part,) = decode(table)
    assert [route.name for route in configuration.routes] == ["r-1", "r-2"]
    assert (part.name, part.served_instead) == ("r-3", "r-1")


@pytest.mark.parametrize("services", [None, "x", [{"name": "huvo11a", "warmupS": "x"}]])
def test_malformed_services_keep_those_in_force(services):
    in_force, _ = decode(CONFIG)
    configuration, (part,) = decode(CONFIG | {"services": services}, in_force)
    assert configuration.services == in_force.services
    assert configuration.routes == in_force.routes
    assert part.kind == "service"


@pytest.mark.parametrize("limits", [None, {}, {"idleTimeoutMs": "long"}, []])
def test_malformed_limits_keep_those_in_force(limits):
    in_force, _ = decode(CONFIG)
    configuration, (part,) = decode(CONFIG | {"limits": limits}, in_force)
    assert configuration == in_force
    assert part.kind == "limits"


@pytest.mark.parametrize(
    "changes", [{"version": "seven"}, {"version": -1}, {"routes": "none"}]
)
def test_configuration_without_version_or_routes_is_rejected(changes):
    with pytest.raises(InputError, match="configuration.invalid"):
        decode_configuration(encode(CONFIG, **changes))


JUNK = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=5), values, max_size=3)
    ),
    max_leaves=5,
)


def many_routes(n_routes):
    routes = [
        CONFIG["routes"][n % 2] | {"name": f"r-{n}", "prefix": f"/{8000 + n}/"}
        for n in range(n_routes)
    ]
    return CONFIG | {"routes": routes}


@settings(derandomize=True, max_examples=300)
@given(st.integers(0, 5), st.sampled_from(sorted(CONFIG["routes"][0])), JUNK)
def test_any_change_of_one_route_leaves_the_others_as_they_are(position, field, junk):
    table = copy.deepcopy(many_routes(6))
    in_force, _ = decode(table)
    name = f"r-{position}"
    table["routes"][position][field] = junk
    for previous in (None, in_force):
        configuration, _ = decode(table, previous)
        others = [r for r in in_force.routes if r.name != name]
        by_destination = {r.destination: r for r in configuration.routes}
        assert all(by_destination[r.destination] == r for r in others)
        assert len(configuration.routes) <= 6
        assert configuration.services == in_force.services
        msgspec.msgpack.encode(configuration)


def test_decoded_configuration_survives_json_encoding():
    configuration, _ = decode(CONFIG)
    payload = msgspec.json.encode(configuration)
    assert msgspec.json.decode(payload, type=type(configuration)) == configuration
