"""What backend servers may be: their addresses, their seats, and their moves."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from ..types import DataCentreId, ServerId, ServerState, ServiceId
from .model import Server
from .sheet_line import LineError, RefusalReason, ServerLine

__all__ = ["Places", "changed_server", "new_server"]


class Places:
    """Addresses and seats of the servers that have not left.

    Parameters
    ----------
    servers : iterable of Server
        All servers of a plan.
    """

    def __init__(self, servers: Iterable[Server]) -> None:
        self._addresses: dict[str, ServerId] = {}
        self._seats: dict[ServiceId, dict[int, list[Server]]] = {}
        self._free_from: dict[ServiceId, int] = {}
        self._n_in_service: Counter[ServiceId] = Counter()
        self._n_in_data_centre: Counter[DataCentreId] = Counter()
        for server in servers:
            self.add(server)

    def add(self, server: Server) -> None:
        """Take note of a server."""
        if server.state is ServerState.LEFT:
            return
        self._addresses[server.address] = server.server
        seats = self._seats.setdefault(server.service, {})
        seats.setdefault(server.seat, []).append(server)
        self._n_in_service[server.service] += 1
        self._n_in_data_centre[server.data_centre] += 1

    def remove(self, server: Server) -> None:
        """Forget a server, before it is added as changed."""
        if server.state is ServerState.LEFT:
            return
        del self._addresses[server.address]
        self._seats[server.service][server.seat].remove(server)
        self._n_in_service[server.service] -= 1
        self._n_in_data_centre[server.data_centre] -= 1
        free_from = self._free_from.get(server.service, 0)
        self._free_from[server.service] = min(free_from, server.seat)

    def n_of_service(self, service: ServiceId) -> int:
        """Return how many servers of a service have not left."""
        return self._n_in_service[service]

    def n_in_data_centre(self, data_centre: DataCentreId) -> int:
        """Return how many servers of a data centre have not left."""
        return self._n_in_data_centre[data_centre]

    def placed(self, known: Server | None, seat: int | None, wanted: Server) -> Server:
        """Return a server with its seat.

        Parameters
        ----------
        known : Server or None
            The server as the plan has it.
        seat : int or None
            The seat that the line names; None keeps the present one, or takes the
            lowest free one.
        wanted : Server
            The server as the line asks for it.

        Returns
        -------
        Server
            The same with its seat; it shares one only with a draining server.

        Raises
        ------
        LineError
            Its address or its seat belongs to another server.
        """
        holder = self._addresses.get(wanted.address, wanted.server)
        if holder != wanted.server:
            reason = f"{wanted.address} belongs to {holder!r}, which has not left"
            raise LineError(RefusalReason.ADDRESS_TAKEN, reason)
        if seat is None:
            stays = known is not None and known.state is not ServerState.LEFT
            seat = wanted.seat if stays else self._lowest_free_seat(wanted.service)
        if wanted.state is not ServerState.DRAINING:
            self._check_seat(wanted, seat)
        return msgspec.structs.replace(wanted, seat=seat)

    def _lowest_free_seat(self, service: ServiceId) -> int:
        seats = self._seats.setdefault(service, {})
        seat = self._free_from.get(service, 0)
        while seats.get(seat):
            seat += 1
        self._free_from[service] = seat
        return seat

    def _check_seat(self, wanted: Server, seat: int) -> None:
        for holder in self._seats.get(wanted.service, {}).get(seat, ()):
            is_other = holder.server != wanted.server
            if is_other and holder.state is not ServerState.DRAINING:
                reason = f"seat {seat} belongs to {holder.server!r}; let it drain first"
                raise LineError(RefusalReason.SEAT_TAKEN, reason)


def new_server(line: ServerLine) -> Server:
    """Return the server that a line about an unknown one asks for.

    Raises
    ------
    LineError
        A field is missing.
    """
    missing = [
        column
        for column, value in (
            ("service", line.service),
            ("data_centre", line.data_centre),
            ("address", line.address),
            ("state", line.state),
        )
        if value is None
    ]
    if missing:
        reason = f"the plan has no such server yet, so {', '.join(missing)} must be set"
        raise LineError(RefusalReason.MISSING_FIELD, reason)
    assert line.service is not None
    assert line.data_centre is not None
    assert line.address is not None
    assert line.state is not None
    server = Server(
        server=line.name,
        service=line.service,
        data_centre=line.data_centre,
        address=line.address,
        state=line.state,
    )
    return _with_limits(server, line)


def changed_server(known: Server, line: ServerLine) -> Server:
    """Return a known server as a line asks for it.

    Raises
    ------
    LineError
        It would change its service, or move while in use.
    """
    if line.service not in (None, known.service):
        # Layers of the old service may still name this server.
        reason = f"it belongs to service {known.service!r}; use another name"
        raise LineError(RefusalReason.SERVICE_FIXED, reason)
    wanted = msgspec.structs.replace(
        known,
        data_centre=line.data_centre or known.data_centre,
        address=line.address or known.address,
        state=line.state or known.state,
    )
    moved = (wanted.data_centre, wanted.address) != (known.data_centre, known.address)
    if moved and known.state is not ServerState.LEFT:
        raise LineError(
            RefusalReason.SERVER_IN_USE,
            f"it is {known.state.value} in {known.data_centre!r} at {known.address}; "
            "let it leave first, or use another name",
        )
    return _with_limits(wanted, line)


def _with_limits(server: Server, line: ServerLine) -> Server:
    return msgspec.structs.replace(
        server,
        n_slots=line.n_slots or server.n_slots,
        n_flows_max=line.n_flows_max or server.n_flows_max,
    )
