"""Decodes the platform's settings file."""

import os
import tomllib

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.udp import Address, parse_address

from ..steering.settings import SteeringSettings

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "SAPPHIRERAIL_NODE_FILE"
# The platform's file has no place for it; the deploy file sets both.
METRICS_PORT_VARIABLE = "SAPPHIRERAIL_METRICS_PORT"


class _Listen(msgspec.Struct, rename="camel"):
    datagram_addr: str
    ready: str
    control: str


class _Platform(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: float = 6


class _File(msgspec.Struct, rename="camel"):
    node_name: str
    zone: str
    ip: str
    internal_port_range: tuple[int, int]
    listen: _Listen
    platform: _Platform
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def read_settings(environment: dict[str, str] | None = None) -> SteeringSettings:
    """Return the settings that the platform has written for this process.

    Raises
    ------
    InputError
        ``settings.missing`` or ``settings.invalid``, with the path and the field.
    """
    variables = os.environ if environment is None else environment
    name = variables.get(SETTINGS_VARIABLE)
    if not name:
        raise InputError("settings.missing", f"set {SETTINGS_VARIABLE} to a file")
    try:
        with open(name, "rb") as file:
            table = tomllib.load(file)
        metrics_port = variables.get(METRICS_PORT_VARIABLE)
        return _translate(
            msgspec.convert(table, _File),
            None if metrics_port is None else int(metrics_port),
        )
    except OSError as error:
        raise InputError("settings.missing", f"{name}: {error.strerror}") from error
    except (ValueError, msgspec.MsgspecError) as error:
        raise InputError("settings.invalid", f"{name}: {error}") from error


def _translate(file: _File, metrics_port: int | None) -> SteeringSettings:
    return SteeringSettings(
        instance=InstanceId(file.node_name),
        data_centre=DataCentreId(file.zone),
        packet_address=parse_address(file.listen.datagram_addr),
        ready_address=parse_address(file.listen.ready),
        state_address=parse_address(file.listen.control),
        metrics_address=None if metrics_port is None else (file.ip, metrics_port),
        peer_address=(file.ip, file.internal_port_range[0]),
        store_address=parse_address(file.platform.address),
        seeds=_seeds(file.seeds),
        stop_grace_ms=int(file.bounds.grace_s * 1000),
    )


def _seeds(texts: list[str]) -> tuple[Address, ...]:
    return tuple(parse_address(text) for text in texts)
