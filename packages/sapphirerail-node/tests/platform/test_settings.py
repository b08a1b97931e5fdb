import pytest

from sapphirerail_core.errors import InputError
from sapphirerail_node.platform.settings import SETTINGS_VARIABLE, read_settings

FILE = """
nodeName = "front-osu-1"
role = "entry"
zone = "osu"
region = "accra"
ip = "10.1.0.10"
internalPortRange = [7720,7735]
seeds = ["10.1.0.10:8166","10.2.0.40:8166"]
somethingNew = { a = 1 }
[listen]
datagramAddr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
[bounds]
graceS = 6
[platform]
address = "10.200.1.7:8169"
"""


def read(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return read_settings({SETTINGS_VARIABLE: str(path)})


def test_platform_settings_are_converted(tmp_path):
    settings = read(tmp_path, FILE)
    assert (settings.instance, settings.data_centre) == ("front-osu-1", "osu")
    assert settings.packet_address == ("10.1.0.10", 8172)
    assert settings.peer_address == ("10.1.0.10", 7720)
    assert settings.store_address == ("10.200.1.7", 8169)
    assert settings.seeds[1] == ("10.2.0.40", 8166)
    assert settings.stop_grace_ms == 6_000


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('nodeName = "front-osu-1"', ""),
        ('"10.1.0.10:8172"', '"10.1.0.10"'),
        ("[7720,7735]", '"7720"'),
        ("[bounds]", "[bounds"),
    ],
)
def test_invalid_settings_are_rejected_with_a_code(tmp_path, old, new):
    with pytest.raises(InputError, match="settings.invalid"):
        read(tmp_path, FILE.replace(old, new, 1))


def test_missing_file_or_variable_is_reported(tmp_path):
    with pytest.raises(InputError, match=SETTINGS_VARIABLE):
        read_settings({})
    with pytest.raises(InputError, match="settings.missing"):
        read_settings({SETTINGS_VARIABLE: str(tmp_path / "none")})
