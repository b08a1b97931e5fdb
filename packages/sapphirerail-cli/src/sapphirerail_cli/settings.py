"""Settings of the operators' command."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from sapphirerail_core.errors import InputError
from sapphirerail_transport.udp import Address, parse_address

__all__ = ["INSTANCES_VARIABLE", "KEY_FILE_VARIABLE", "KEY_VARIABLE", "CliSettings"]

KEY_VARIABLE = "SAPPHIRERAIL_KEY"
KEY_FILE_VARIABLE = "SAPPHIRERAIL_KEY_FILE"
INSTANCES_VARIABLE = "SAPPHIRERAIL_INSTANCES"


@dataclass(frozen=True, slots=True)
class CliSettings:
    """Address of the platform, name of the operator, and the shared key.

    Parameters
    ----------
    platform : Address
        The platform's key-value service and instance list.
    operator : str
        Operator's name in the plan's history.
    key : str
        Shared key of instances and operators; empty if none was given, and never
        shown.
    instances : tuple of str
        ``address:port`` of instances to call in place of those on the platform's
        list; empty means those on the list.
    """

    platform: Address
    operator: str
    key: str
    instances: tuple[str, ...] = ()

    @classmethod
    def from_config(
        cls, platform: str, operator: str, environment: Mapping[str, str]
    ) -> "CliSettings":
        """Return checked settings.

        Parameters
        ----------
        platform : str
            ``address:port``.
        operator : str
            Operator's name.
        environment : mapping of str to str
            May hold the key or the path of its file, and addresses of instances.

        Raises
        ------
        InputError
            ``settings.invalid``: the platform's address, the key file or an
            instance's address is unusable.
        """
        try:
            address = parse_address(platform)
        except ValueError as error:
            text = "give --platform or SAPPHIRERAIL_PLATFORM as address:port"
            raise InputError("settings.invalid", text) from error
        instances = _instances(environment.get(INSTANCES_VARIABLE, ""))
        return cls(address, operator, _key(environment), instances)

    def __repr__(self) -> str:
        """Return the settings without the key."""
        return f"CliSettings({self.platform}, {self.operator!r}, key=(hidden))"


def _key(environment: Mapping[str, str]) -> str:
    path = environment.get(KEY_FILE_VARIABLE)
    if not path:
        return environment.get(KEY_VARIABLE, "")
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        text = f"{KEY_FILE_VARIABLE}: cannot read {path!r}: {error.strerror}"
        raise InputError("settings.invalid", text) from error


def _instances(text: str) -> tuple[str, ...]:
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in addresses:
        try:
            parse_address(address)
        except ValueError as error:
            message = (
                f"{INSTANCES_VARIABLE}: expected address:port, with commas between, "
                f"not {address!r}"
            )
            raise InputError("settings.invalid", message) from error
    return addresses
