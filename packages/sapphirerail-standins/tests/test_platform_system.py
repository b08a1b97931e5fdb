import socket

import pytest

from sapphirerail_standins import platform_system
from sapphirerail_standins.platform_system import PORTS, free_port


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
@pytest.mark.parametrize("host", ["127.0.0.1", "127.0.1.2", "0.0.0.0"])
def test_a_port_in_use_on_any_address_is_not_chosen(monkeypatch, kind, host):
    # A start beside another test run failed with "address already in use": only TCP was
    # checked, but a UDP socket had the port.
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind((host, 0))
        port = taken.getsockname()[1]
        monkeypatch.setattr(platform_system, "PORTS", [port] * 3 + list(PORTS))
        assert free_port() != port


def test_no_ephemeral_port_is_chosen():
    assert all(free_port() in PORTS for _ in range(20))
