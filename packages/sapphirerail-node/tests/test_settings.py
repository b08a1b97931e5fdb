import pytest

from sapphirerail_node.settings import Settings, SettingsError

_VALID = {
    "instance": "osu-1",
    "data_centre": "osu",
    "caller_address": "127.0.0.1:0",
    "server_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "api_address": "127.0.0.1:0",
    "platform_address": "127.0.0.1:9000",
    "key": "long enough",
    "n_flows_max": 300_000,
    "server_warm_up_ms": 5_000,
    "stop_linger_ms": 2_000,
    "stop_timeout_ms": 60_000,
    "ready_timeout_ms": 3_000,
    "log_level": "info",
    "seed": 0,
}


def test_valid_settings():
    settings = Settings.from_config(_VALID)
    assert settings.platform_address == ("127.0.0.1", 9000)
    assert settings.statsd_address is None


@pytest.mark.parametrize(
    ("name", "value", "flag"),
    [
        ("instance", "", "--instance"),
        ("instance", "a b", "--instance"),
        ("data_centre", "x" * 65, "--data-centre"),
        ("caller_address", "localhost:1", "--caller-address"),
        ("caller_address", "::1:7000", "--caller-address"),
        ("caller_address", "[::1]:7000", "--caller-address"),
        ("peer_address", "127.0.0.1", "--peer-address"),
        ("api_address", "127.0.0.1:70000", "--api-address"),
        ("statsd_address", "nowhere", "--statsd"),
        ("platform_address", "", "--platform"),
        ("key", "short", "SAPPHIRERAIL_KEY"),
        ("n_flows_max", 1, "--n-flows-max"),
        ("server_warm_up_ms", -1, "--server-warm-up-ms"),
        ("ready_timeout_ms", -1, "--ready-timeout-ms"),
        ("log_level", "loud", "--log-level"),
        ("seed", -1, "--seed"),
    ],
)
def test_error_names_flag_value_and_range(name, value, flag):
    with pytest.raises(SettingsError) as refused:
        Settings.from_config(_VALID | {name: value})
    assert refused.value.code == "settings.invalid"
    assert refused.value.flag == flag
    assert "give " in refused.value.message
    if name != "key":
        assert repr(value) in refused.value.message


def test_key_is_hidden_in_output_and_errors():
    settings = Settings.from_config(_VALID)
    assert _VALID["key"] not in str(settings.printable())
    with pytest.raises(SettingsError) as refused:
        Settings.from_config(_VALID | {"key": "secret"})
    assert "secret" not in str(refused.value)


def test_absent_values_get_their_defaults():
    needed = ("instance", "data_centre", "platform_address", "key")
    addresses = [name for name in _VALID if name.endswith("_address")]
    config = {name: _VALID[name] for name in (*needed, *addresses)}
    assert Settings.from_config(config) == Settings.from_config(_VALID)
    with pytest.raises(SettingsError) as refused:
        Settings.from_config(config | {"instance": None})
    assert refused.value.flag == "--instance"
