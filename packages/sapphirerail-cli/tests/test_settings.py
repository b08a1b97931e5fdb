import pytest

from sapphirerail_cli.settings import CliSettings
from sapphirerail_core.errors import InputError

PLATFORM = "127.0.0.1:9000"


def test_key_from_the_environment():
    environment = {"SAPPHIRERAIL_KEY": "very secret"}
    settings = CliSettings.from_config(PLATFORM, "ama", environment)
    assert settings.key == "very secret"
    assert settings.platform == ("127.0.0.1", 9000)


def test_key_file_overrides_key_variable(tmp_path):
    path = tmp_path / "key"
    path.write_text("from the file\n")
    environment = {"SAPPHIRERAIL_KEY": "other", "SAPPHIRERAIL_KEY_FILE": str(path)}
    assert CliSettings.from_config(PLATFORM, "ama", environment).key == "from the file"


def test_instances_variable_is_parsed():
    environment = {"SAPPHIRERAIL_INSTANCES": "127.0.0.1:1, 127.0.0.1:2,"}
    settings = CliSettings.from_config(PLATFORM, "ama", environment)
    assert settings.instances == ("127.0.0.1:1", "127.0.0.1:2")


def test_key_is_never_shown():
    environment = {"SAPPHIRERAIL_KEY": "very secret"}
    settings = CliSettings.from_config(PLATFORM, "ama", environment)
    assert "very secret" not in f"{settings} {settings!r}"


@pytest.mark.parametrize(
    ("platform", "environment"),
    [
        ("", {}),
        ("localhost", {}),
        (PLATFORM, {"SAPPHIRERAIL_KEY_FILE": "/nowhere/at/all"}),
        (PLATFORM, {"SAPPHIRERAIL_INSTANCES": "127.0.0.1:1,osu"}),
    ],
)
def test_invalid_settings_are_refused(platform, environment):
    with pytest.raises(InputError) as refused:
        CliSettings.from_config(platform, "ama", environment)
    assert refused.value.code == "settings.invalid"
