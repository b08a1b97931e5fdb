"""The settings of one instance, checked, with the source of each value."""

import ipaddress
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from enum import Enum
from typing import Any

from sapphirerail_core.errors import InputError
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.udp import Address, parse_address

__all__ = ["Settings", "SettingsError", "Source"]

NAME_MAX_LENGTH = 64
LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingsError(InputError):
    """A setting that cannot be used; the message names flag, value and range."""

    def __init__(self, flag: str, value: object, allowed: str) -> None:
        super().__init__(
            "settings.invalid", f"{flag}: {value!r} is not allowed; give {allowed}"
        )
        self.flag = flag


class Source(Enum):
    """Where the value of a setting came from, in falling order of rank."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    DEFAULT = "default"


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that an instance is told at its start.

    Parameters
    ----------
    instance : InstanceId
        Name of this instance, unique in the fleet.
    data_centre : DataCentreId
        Where it stands.
    caller_address, server_address, peer_address, api_address : Address
        Sockets towards callers, backend servers, other instances and operators.
    peer_advertised, api_advertised : Address or None
        Where others reach the peer and API sockets; None means where they are bound.
    platform_address : Address
        The platform's key-value service and instance list.
    statsd_address : Address or None
        Where metrics are sent; None sends none.
    key : str
        Shared key of instances and operators.
    n_flows_max : int
        Flows that the local table holds.
    server_warm_up_ms : int
        Least time for which a server gets one request at a time; the longest warm-up
        of any server.
    stop_linger_ms : int
        How long a stopping instance waits after the last packet of a caller.
    stop_timeout_ms : int
        Longest graceful shutdown.
    ready_timeout_ms : int
        Longest wait for a first plan before the ready line.
    log_level : str
        One of debug, info, warning and error.
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
        """Return checked settings.

        Parameters
        ----------
        config : mapping of str to object
            Raw values by field name, as flags and environment give them; one that is
            absent or None takes its default, if it has one.

        Returns
        -------
        Settings
            The settings.

        Raises
        ------
        SettingsError
            For the first value that cannot be used.
        """
        checked = {}
        for field in fields(cls):
            raw = config.get(field.name)
            if raw is None and field.default is not MISSING:
                continue
            checked[field.name] = _CHECKS[field.name](_flag(field.name), raw)
        return cls(**checked)

    def printable(self) -> dict[str, str]:
        """Return the values as text, without the key."""
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
    if not all(sign.isalnum() or sign in "-_." for sign in value):
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
