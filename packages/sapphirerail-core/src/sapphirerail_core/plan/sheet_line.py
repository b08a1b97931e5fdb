"""Typed lines of the operators' sheet, and reasons for refusing them.

A sheet is a CSV file; each line describes one data centre, service or server.
"""

from enum import Enum

import msgspec

from ..types import (
    DataCentreId,
    DataCentreState,
    ServerId,
    ServerState,
    ServiceId,
    TenantId,
)

__all__ = [
    "COLUMNS",
    "DataCentreLine",
    "LineError",
    "LineKind",
    "Refusal",
    "RefusalReason",
    "ServerLine",
    "ServiceLine",
    "Sheet",
    "SheetLine",
]

COLUMNS = (
    "kind",
    "name",
    "tenant",
    "service",
    "data_centre",
    "address",
    "state",
    "seat",
    "slots",
    "connections",
)


class LineKind(Enum):
    """Kind of object that a sheet line describes."""

    DATA_CENTRE = "data_centre"
    SERVICE = "service"
    SERVER = "server"


class RefusalReason(Enum):
    """Why a sheet line was refused."""

    MALFORMED = "sheet.malformed"
    CUT = "sheet.cut"
    UNKNOWN_KIND = "sheet.unknown_kind"
    BAD_NAME = "sheet.bad_name"
    BAD_STATE = "sheet.bad_state"
    BAD_ADDRESS = "sheet.bad_address"
    BAD_NUMBER = "sheet.bad_number"
    MISSING_FIELD = "sheet.missing_field"
    UNUSED_FIELD = "sheet.unused_field"
    CONTRADICTION = "sheet.contradiction"
    UNKNOWN = "sheet.unknown"
    UNKNOWN_DATA_CENTRE = "sheet.unknown_data_centre"
    UNKNOWN_SERVICE = "sheet.unknown_service"
    TENANT_FIXED = "sheet.tenant_fixed"
    SERVICE_FIXED = "sheet.service_fixed"
    SERVER_IN_USE = "sheet.server_in_use"
    ADDRESS_TAKEN = "sheet.address_taken"
    SEAT_TAKEN = "sheet.seat_taken"
    SERVICE_IN_USE = "sheet.service_in_use"
    DATA_CENTRE_IN_USE = "sheet.data_centre_in_use"
    RACE = "sheet.race"


class Refusal(msgspec.Struct, frozen=True):
    """A refused line.

    Parameters
    ----------
    number : int
        Line of the file, from 1; the header counts.
    name : str
        Name field of the line; empty if it could not be parsed.
    code : RefusalReason
        Stable identifier of the reason.
    reason : str
        What is wrong and how to correct it.
    """

    number: int
    name: str
    code: RefusalReason
    reason: str


class DataCentreLine(msgspec.Struct, frozen=True, kw_only=True):
    """A data centre that is to be in service, evacuated or removed."""

    number: int
    name: DataCentreId
    state: DataCentreState | None = None
    is_removed: bool = False


class ServiceLine(msgspec.Struct, frozen=True, kw_only=True):
    """A service of a tenant; the tenant is optional if the service is removed."""

    number: int
    name: ServiceId
    tenant: TenantId | None = None
    is_removed: bool = False


class ServerLine(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server; None keeps the value in the plan."""

    number: int
    name: ServerId
    service: ServiceId | None = None
    data_centre: DataCentreId | None = None
    address: str | None = None
    state: ServerState | None = None
    seat: int | None = None
    n_slots: int | None = None
    n_flows_max: int | None = None


SheetLine = DataCentreLine | ServiceLine | ServerLine


class Sheet(msgspec.Struct, frozen=True):
    """A parsed sheet.

    Parameters
    ----------
    lines : tuple of SheetLine
        Valid lines that do not contradict each other.
    refusals : tuple of Refusal
        All others, in the order of the file.
    digest : str
        SHA-256 of the file's bytes, in hexadecimal.
    n_lines : int
        Number of lines without the header, empty lines and the end line.
    has_line_count : bool
        Whether the file has an end line, which states the number of lines.
    """

    lines: tuple[SheetLine, ...]
    refusals: tuple[Refusal, ...]
    digest: str
    n_lines: int = 0
    has_line_count: bool = False

    @property
    def n_servers(self) -> int:
        """Number of distinct servers in the lines."""
        return len({part.name for part in self.lines if isinstance(part, ServerLine)})


class LineError(Exception):
    """A sheet line is refused."""

    def __init__(self, code: RefusalReason, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason
