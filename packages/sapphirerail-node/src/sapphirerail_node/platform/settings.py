"""Reads the platform's settings file."""

import os
import tomllib

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.udp import Address, parse_address

from ..steering.settings import SteeringSettings

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "SAPPHIRERAIL_NODE_FILE"
# The platform's settings file has no field for this port; the deployment file sets both
# variables.
METRICS_PORT_VARIABLE = "SAPPHIRERAIL_METRICS_PORT"


class _ListenTable(msgspec.Struct, rename="camel"):
    datagram_addr: str
    ready: str
    control: str


class _PlatformTable(msgspec.Struct):
    address: str


class _BoundsTable(msgspec.Struct, rename="camel"):
    grace_s: float = 6


class _SettingsFile(msgspec.Struct, rename="camel"):
    node_name: str
    zone: str
    ip: str
    internal_port_range: tuple[int, int]
    listen: _ListenTable
    platform: _PlatformTable
    seeds: list[str] = []
    bounds: _BoundsTable = msgspec.field(default_factory=_BoundsTable)


def read_settings(environment: dict[str, str] | None = None) -> SteeringSettings:
    """Read the settings that the platform has written for this process.

    Raises
    ------
    InputError
        ``settings.missing`` if the variable or the file is missing,
        ``settings.invalid`` with the path and the field otherwise.
    """
    variables = os.environ if environment is None else environment
    path = variables.get(SETTINGS_VARIABLE)
    if not path:
        raise InputError(
            "settings.missing",
            f"set {SETTINGS_VARIABLE} to the path of the settings file",
        )
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
        metrics_port = variables.get(METRICS_PORT_VARIABLE)
        return _to_settings(
            msgspec.convert(table, _SettingsFile),
            None if metrics_port is None else int(metrics_port),
        )
    except OSError as error:
        raise InputError("settings.missing", f"{path}: {error.strerror}") from error
    except (ValueError, msgspec.MsgspecError) as error:
        raise InputError("settings.invalid", f"{path}: {error}") from error


def _to_settings(file: _SettingsFile, metrics_port: int | None) -> SteeringSettings:
    return SteeringSettings(
        instance=InstanceId(file.node_name),
        data_centre=DataCentreId(file.zone),
        packet_address=parse_address(file.listen.datagram_addr),
        ready_address=parse_address(file.listen.ready),
        state_address=parse_address(file.listen.control),
        metrics_address=None if metrics_port is None else (file.ip, metrics_port),
        peer_address=(file.ip, file.internal_port_range[0]),
        store_address=parse_address(file.platform.address),
        seeds=_parse_addresses(file.seeds),
        stop_grace_ms=int(file.bounds.grace_s * 1000),
    )


def _parse_addresses(texts: list[str]) -> tuple[Address, ...]:
    return tuple(parse_address(text) for text in texts)
