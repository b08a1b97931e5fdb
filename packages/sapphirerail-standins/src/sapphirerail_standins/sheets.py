"""Builds the operators' sheets for a system under test."""

import csv
import io
from collections.abc import Iterable
from dataclasses import dataclass

from .server_group import Server
from .topology import SystemSpec

__all__ = [
    "SheetRow",
    "data_centre_row",
    "first_sheet",
    "render_sheet",
    "server_row",
]

COLUMNS = (
    "kind",
    "name",
    "tenant",
    "service",
    "data_centre",
    "address",
    "state",
    "slots",
)


@dataclass(frozen=True)
class SheetRow:
    """One line of a sheet; empty fields leave the plan's values unchanged."""

    kind: str
    name: str
    tenant: str = ""
    service: str = ""
    data_centre: str = ""
    address: str = ""
    state: str = ""
    slots: str = ""


def data_centre_row(name: str, state: str) -> SheetRow:
    """Return the line that sets the state of a data centre, ``in`` or ``out``."""
    return SheetRow("data_centre", name, state=state)


def server_row(server: Server, state: str) -> SheetRow:
    """Return the line that sets the state of a backend server."""
    return SheetRow(
        "server",
        server.spec.server,
        service=server.spec.service,
        data_centre=server.spec.data_centre,
        address=server.address,
        state=state,
        slots=str(server.spec.settings.get("n_slots", "")),
    )


def first_sheet(spec: SystemSpec, servers: Iterable[Server]) -> list[SheetRow]:
    """Return the lines for all data centres, services and servers of a system."""
    rows = [data_centre_row(name, "in") for name in spec.data_centres]
    rows += [SheetRow("service", name, tenant=spec.tenant) for name in spec.services]
    rows += [server_row(server, server.spec.state) for server in servers]
    return rows


def render_sheet(rows: Iterable[SheetRow]) -> str:
    r"""Return the CSV text of a sheet.

    Examples
    --------
    >>> render_sheet([data_centre_row("osu", "out")])
    'kind,name,tenant,service,data_centre,address,state,slots\ndata_centre,osu,,,,,out,\n'
    """
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        writer.writerow([getattr(row, column) for column in COLUMNS])
    return text.getvalue()
