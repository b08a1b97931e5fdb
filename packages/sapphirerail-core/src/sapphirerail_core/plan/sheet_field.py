"""Parses the fields of one sheet line into typed values."""

from collections.abc import Callable
from enum import Enum
from ipaddress import IPv4Address
from typing import TypeVar

from ..types import (
    DataCentreId,
    DataCentreState,
    ServerId,
    ServerState,
    ServiceId,
    TenantId,
)
from .sheet_line import (
    COLUMNS,
    DataCentreLine,
    LineError,
    LineKind,
    RefusalReason,
    ServerLine,
    ServiceLine,
    SheetLine,
)

__all__ = ["parse_line"]

NAME_MAX_CHARACTERS = 64
NUMBER_MAX = 1_000_000

REMOVED = "removed"
"""State that removes a service or a data centre from the plan."""

StateT = TypeVar("StateT", bound=Enum)


def parse_line(number: int, fields: dict[str, str]) -> SheetLine:
    """Parse the fields of a row into a typed line.

    Parameters
    ----------
    number : int
        Line of the file.
    fields : dict of str to str
        Text of every column; empty where the sheet has none.

    Returns
    -------
    SheetLine
        The line.

    Raises
    ------
    LineError
        A field is missing or invalid.
    """
    try:
        kind = LineKind(fields["kind"])
    except ValueError as error:
        kinds = ", ".join(kind.value for kind in LineKind)
        reason = f"kind {fields['kind']!r} is not one of {kinds}"
        raise LineError(RefusalReason.UNKNOWN_KIND, reason) from error
    return _PARSERS[kind](number, fields)


def _parse_data_centre(number: int, fields: dict[str, str]) -> SheetLine:
    _check_unused(fields, ("kind", "name", "state"))
    state = fields["state"]
    name = _name(fields, "name")
    if not all(char.isalnum() or char in "-_." for char in name):
        # Instances accept no other characters in the setting of their data centre.
        reason = f"name {name!r} may contain only letters, digits, '-', '_' and '.'"
        raise LineError(RefusalReason.BAD_NAME, reason)
    if state == REMOVED:
        return DataCentreLine(number=number, name=DataCentreId(name), is_removed=True)
    return DataCentreLine(
        number=number,
        name=DataCentreId(name),
        state=_state(state, DataCentreState, REMOVED) if state else None,
    )


def _parse_service(number: int, fields: dict[str, str]) -> SheetLine:
    _check_unused(fields, ("kind", "name", "tenant", "state"))
    is_removed = fields["state"] == REMOVED
    if fields["state"] and not is_removed:
        reason = f"the state of a service must be empty or {REMOVED!r}"
        raise LineError(RefusalReason.UNUSED_FIELD, reason)
    needs_tenant = not is_removed or bool(fields["tenant"])
    return ServiceLine(
        number=number,
        name=ServiceId(_name(fields, "name")),
        tenant=TenantId(_name(fields, "tenant")) if needs_tenant else None,
        is_removed=is_removed,
    )


def _parse_server(number: int, fields: dict[str, str]) -> SheetLine:
    _check_unused(fields, tuple(name for name in COLUMNS if name != "tenant"))
    service = _optional_name(fields, "service")
    data_centre = _optional_name(fields, "data_centre")
    state = fields["state"]
    return ServerLine(
        number=number,
        name=ServerId(_name(fields, "name")),
        service=None if service is None else ServiceId(service),
        data_centre=None if data_centre is None else DataCentreId(data_centre),
        address=_address(fields["address"]),
        state=_state(state, ServerState) if state else None,
        seat=_number(fields, "seat", minimum=0),
        n_slots=_number(fields, "slots", minimum=1),
        n_flows_max=_number(fields, "connections", minimum=1),
    )


_PARSERS: dict[LineKind, Callable[[int, dict[str, str]], SheetLine]] = {
    LineKind.DATA_CENTRE: _parse_data_centre,
    LineKind.SERVICE: _parse_service,
    LineKind.SERVER: _parse_server,
}


def _check_unused(fields: dict[str, str], used: tuple[str, ...]) -> None:
    unused = [name for name in COLUMNS if fields[name] and name not in used]
    if unused:
        reason = f"a {fields['kind']} has no field {', '.join(unused)}; leave it empty"
        raise LineError(RefusalReason.UNUSED_FIELD, reason)


def _name(fields: dict[str, str], column: str) -> str:
    name = fields[column]
    if not name:
        raise LineError(RefusalReason.MISSING_FIELD, f"{column} is empty")
    if len(name) > NAME_MAX_CHARACTERS:
        reason = f"{column} is longer than {NAME_MAX_CHARACTERS} characters"
        raise LineError(RefusalReason.BAD_NAME, reason)
    if not name.isprintable():
        reason = f"{column} {name!r} contains non-printable characters"
        raise LineError(RefusalReason.BAD_NAME, reason)
    return name


def _optional_name(fields: dict[str, str], column: str) -> str | None:
    return _name(fields, column) if fields[column] else None


def _state(text: str, kind: type[StateT], *others: str) -> StateT:
    try:
        return kind(text)
    except ValueError as error:
        states = ", ".join((*(state.value for state in kind), *others))
        reason = f"state {text!r} is not one of {states}"
        raise LineError(RefusalReason.BAD_STATE, reason) from error


def _address(text: str) -> str | None:
    if not text:
        return None
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        reason = (
            f"address {text!r} is not an IPv4 address and a port like 10.0.0.1:9000"
        )
        raise LineError(RefusalReason.BAD_ADDRESS, reason)
    return f"{host}:{int(port)}"


def _number(fields: dict[str, str], column: str, minimum: int) -> int | None:
    text = fields[column]
    if not text:
        return None
    if text.isascii() and text.isdigit() and len(text) <= len(str(NUMBER_MAX)):
        if minimum <= int(text) <= NUMBER_MAX:
            return int(text)
    reason = f"{column} {text!r} is not a whole number from {minimum} to {NUMBER_MAX}"
    raise LineError(RefusalReason.BAD_NUMBER, reason)
