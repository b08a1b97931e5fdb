"""Typed lines of the operators' sheet and the reasons of refusal."""

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
    """What a sheet line is about."""

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
    """A line that was not accepted.

    Parameters
    ----------
    number : int
        Line of the file, from 1; the header counts.
    name : str
        What the line was about, as far as it could be read.
    code : RefusalReason
        Stable identifier of the reason.
    reason : str
        What is wrong and what to do.
    """

    number: int
    name: str
    code: RefusalReason
    reason: str


class DataCentreLine(msgspec.Struct, frozen=True, kw_only=True):
    """A data centre that is in service, taken out, or to be removed."""

    number: int
    name: DataCentreId
    state: DataCentreState | None = None
    is_removed: bool = False


class ServiceLine(msgspec.Struct, frozen=True, kw_only=True):
    """A service of a tenant; one that is to be removed needs no tenant."""

    number: int
    name: ServiceId
    tenant: TenantId | None = None
    is_removed: bool = False


class ServerLine(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server; None keeps what the plan has."""

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
        Lines that can be read and don't contradict each other.
    refusals : tuple of Refusal
        All others, in the order of the file.
    digest : str
        SHA-256 of the file's bytes, in hexadecimal.
    n_lines : int
        Lines besides the header, empty ones, and the one that states their number.
    is_ended : bool
        Whether the file ends with a line that states their number.
    """

    lines: tuple[SheetLine, ...]
    refusals: tuple[Refusal, ...]
    digest: str
    n_lines: int = 0
    is_ended: bool = False

    @property
    def n_servers(self) -> int:
        """Number of servers that the lines name."""
        return len({part.name for part in self.lines if isinstance(part, ServerLine)})


class LineError(Exception):
    """Why one line cannot be accepted."""

    def __init__(self, code: RefusalReason, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason
