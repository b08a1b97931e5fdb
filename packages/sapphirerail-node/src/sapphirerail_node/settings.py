"""Settings of one instance, and their validation."""

import ipaddress
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from enum import Enum
from typing import Any

from sapphirerail_core.errors import InputError
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.udp import Address, parse_address

__all__ = ["SettingSource", "Settings", "SettingsError"]

NAME_MAX_LENGTH = 64
LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingsError(InputError):
    """Invalid setting; the message names its flag, its value and the allowed range."""

    def __init__(self, flag: str, value: object, allowed: str) -> None:
        super().__init__(
            "settings.invalid", f"{flag}: {value!r} is not allowed; give {allowed}"
        )
        self.flag = flag


class SettingSource(Enum):
    """Source of a setting's value, highest precedence first."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    DEFAULT = "default"


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that an instance reads at its start.

    Parameters
    ----------
    instance : InstanceId
        Name of this instance, unique in the fleet.
    data_centre : DataCentreId
        Data centre of this instance.
    caller_address, server_address, peer_address, api_address : Address
        Addresses to bind the sockets for callers, backend servers, other instances
        and the API to.
    peer_advertised, api_advertised : Address or None
        Addresses at which others reach the peer and API sockets; None for the bound
        addresses.
    platform_address : Address
        Address of the platform's key-value service and instance list.
    statsd_address : Address or None
        Address of the statsd server; None disables the export of metrics.
    key : str
        Shared key of instances and operators.
    n_flows_max : int
        Capacity of the local flow table.
    server_warm_up_ms : int
        Minimum time for which a server gets only one request at a time; set it to
        the longest warm-up of any server.
    stop_linger_ms : int
        Time without traffic of callers and flows after which a shutdown completes.
    stop_timeout_ms : int
        Timeout of a graceful shutdown.
    ready_timeout_ms : int
        Timeout of the wait for a first plan before the ready line is printed.
    log_level : str
        Minimum level of log records: debug, info, warning or error.
    seed : int
        Seed of random choices.
    """

    instance: InstanceId
    data_centre: DataCentreId
    caller_address: Address
    server_address: Address
    peer_address: Address
    api_address: Address
    platform_address: Address
    key: str
    peer_advertised: Address | None = None
    api_advertised: Address | None = None
    statsd_address: Address | None = None
    n_flows_max: int = 300_000
    server_warm_up_ms: int = 5_000
    stop_linger_ms: int = 2_000
    stop_timeout_ms: int = 60_000
    ready_timeout_ms: int = 3_000
    log_level: str = "info"
    seed: int = 0

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "Settings":
        """Validate raw values and return the settings.

        Parameters
        ----------
        config : mapping of str to object
            Raw values of flags and environment variables by field name; a value that
            is absent or None is replaced by the field's default, if it has one.

        Returns
        -------
        Settings
            The validated settings.

        Raises
        ------
        SettingsError
            For the first invalid value.
        """
        checked = {}
        for field in fields(cls):
            raw = config.get(field.name)
            if raw is None and field.default is not MISSING:
                continue
            checked[field.name] = _CHECKS[field.name](_flag(field.name), raw)
        return cls(**checked)

    def printable(self) -> dict[str, str]:
        """Return the values as text by field name, with the key hidden."""
        values = {field.name: getattr(self, field.name) for field in fields(self)}
        texts = {name: _text(value) for name, value in values.items()}
        texts["key"] = "(hidden)"
        return texts


_FLAGS = {
    "key": "SAPPHIRERAIL_KEY",
    "platform_address": "--platform",
    "statsd_address": "--statsd",
}


def _flag(name: str) -> str:
    return _FLAGS.get(name, "--" + name.replace("_", "-"))


def _text(value: object) -> str:
    if isinstance(value, tuple):
        return f"{value[0]}:{value[1]}"
    return "" if value is None else str(value)


def _check_name(flag: str, value: object) -> str:
    allowed = f"1 to {NAME_MAX_LENGTH} letters, digits, '-', '_' or '.'"
    if not isinstance(value, str) or not 0 < len(value) <= NAME_MAX_LENGTH:
        raise SettingsError(flag, value, allowed)
    if not all(char.isalnum() or char in "-_." for char in value):
        raise SettingsError(flag, value, allowed)
    return value


def _check_address(flag: str, value: object) -> Address:
    allowed = "IPv4 address:port, such as 10.0.0.1:7000"
    try:
        host, port = parse_address(str(value))
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise SettingsError(flag, value, allowed) from error
    if port > 65535:
        raise SettingsError(flag, value, allowed)
    return host, port


def _check_key(flag: str, value: object) -> str:
    if not isinstance(value, str) or len(value) < 8:
        raise SettingsError(flag, "(hidden)", "at least 8 characters")
    return value


def _check_level(flag: str, value: object) -> str:
    if value not in LOG_LEVELS:
        raise SettingsError(flag, value, "one of " + ", ".join(LOG_LEVELS))
    return str(value)


def _check_range(low: int, high: int) -> Callable[[str, object], int]:
    def check(flag: str, value: object) -> int:
        if not isinstance(value, int) or not low <= value <= high:
            raise SettingsError(flag, value, f"a number from {low} to {high}")
        return value

    return check


_CHECKS: dict[str, Callable[[str, object], object]] = {
    "instance": _check_name,
    "data_centre": _check_name,
    "caller_address": _check_address,
    "server_address": _check_address,
    "peer_address": _check_address,
    "api_address": _check_address,
    "platform_address": _check_address,
    "peer_advertised": _check_address,
    "api_advertised": _check_address,
    "statsd_address": _check_address,
    "key": _check_key,
    "n_flows_max": _check_range(1_000, 5_000_000),
    "server_warm_up_ms": _check_range(0, 600_000),
    "stop_linger_ms": _check_range(0, 600_000),
    "stop_timeout_ms": _check_range(1_000, 3_600_000),
    "ready_timeout_ms": _check_range(0, 600_000),
    "log_level": _check_level,
    "seed": _check_range(0, 2**63 - 1),
}
