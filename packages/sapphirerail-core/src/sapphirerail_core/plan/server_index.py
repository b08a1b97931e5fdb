"""Rules for backend servers: addresses, seats, and allowed changes."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from ..types import DataCentreId, ServerId, ServerState, ServiceId
from .model import Server
from .sheet_line import LineError, RefusalReason, ServerLine

__all__ = ["ServerIndex", "new_server", "updated_server"]


class ServerIndex:
    """Index of the addresses and seats of servers that have not left.

    Parameters
    ----------
    servers : iterable of Server
        All servers of a plan.
    """

    def __init__(self, servers: Iterable[Server]) -> None:
        self._addresses: dict[str, ServerId] = {}
        self._seats: dict[ServiceId, dict[int, list[Server]]] = {}
        self._first_free_seat: dict[ServiceId, int] = {}
        self._n_in_service: Counter[ServiceId] = Counter()
        self._n_in_data_centre: Counter[DataCentreId] = Counter()
        for server in servers:
            self.add(server)

    def add(self, server: Server) -> None:
        """Add a server to the index."""
        if server.state is ServerState.LEFT:
            return
        self._addresses[server.address] = server.server
        seats = self._seats.setdefault(server.service, {})
        seats.setdefault(server.seat, []).append(server)
        self._n_in_service[server.service] += 1
        self._n_in_data_centre[server.data_centre] += 1

    def remove(self, server: Server) -> None:
        """Remove a server from the index, before its changed version is added."""
        if server.state is ServerState.LEFT:
            return
        del self._addresses[server.address]
        self._seats[server.service][server.seat].remove(server)
        self._n_in_service[server.service] -= 1
        self._n_in_data_centre[server.data_centre] -= 1
        first_free = self._first_free_seat.get(server.service, 0)
        self._first_free_seat[server.service] = min(first_free, server.seat)

    def n_in_service(self, service: ServiceId) -> int:
        """Return the number of servers of a service that have not left."""
        return self._n_in_service[service]

    def n_in_data_centre(self, data_centre: DataCentreId) -> int:
        """Return the number of servers in a data centre that have not left."""
        return self._n_in_data_centre[data_centre]

    def assign_seat(
        self, known: Server | None, seat: int | None, requested: Server
    ) -> Server:
        """Return a requested server with its seat assigned.

        Parameters
        ----------
        known : Server or None
            The server in the plan.
        seat : int or None
            The requested seat; None keeps the current seat, or assigns the lowest free
            one.
        requested : Server
            The server that the line requests.

        Returns
        -------
        Server
            The server with its seat, which it may share only with a draining server.

        Raises
        ------
        LineError
            Its address or its seat belongs to another server.
        """
        holder = self._addresses.get(requested.address, requested.server)
        if holder != requested.server:
            reason = f"address {requested.address} is in use by server {holder!r}"
            raise LineError(RefusalReason.ADDRESS_TAKEN, reason)
        if seat is None:
            keeps_seat = known is not None and known.state is not ServerState.LEFT
            seat = (
                requested.seat
                if keeps_seat
                else self._lowest_free_seat(requested.service)
            )
        if requested.state is not ServerState.DRAINING:
            self._check_seat(requested, seat)
        return msgspec.structs.replace(requested, seat=seat)

    def _lowest_free_seat(self, service: ServiceId) -> int:
        seats = self._seats.setdefault(service, {})
        seat = self._first_free_seat.get(service, 0)
        while seats.get(seat):
            seat += 1
        self._first_free_seat[service] = seat
        return seat

    def _check_seat(self, requested: Server, seat: int) -> None:
        for holder in self._seats.get(requested.service, {}).get(seat, ()):
            is_other = holder.server != requested.server
            if is_other and holder.state is not ServerState.DRAINING:
                reason = f"seat {seat} is in use by {holder.server!r}; drain it first"
                raise LineError(RefusalReason.SEAT_TAKEN, reason)


def new_server(line: ServerLine) -> Server:
    """Return the server that a line requests, if the plan does not have it yet.

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
        reason = f"the server is new to the plan; {', '.join(missing)} must be set"
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


def updated_server(known: Server, line: ServerLine) -> Server:
    """Return a known server with the changes that a line requests.

    Raises
    ------
    LineError
        The line changes its service, or moves it while it is in use.
    """
    if line.service not in (None, known.service):
        # Layers of the old service may still refer to this server.
        reason = f"it belongs to service {known.service!r}; use another name"
        raise LineError(RefusalReason.SERVICE_FIXED, reason)
    requested = msgspec.structs.replace(
        known,
        data_centre=line.data_centre or known.data_centre,
        address=line.address or known.address,
        state=line.state or known.state,
    )
    moved = (requested.data_centre, requested.address) != (
        known.data_centre,
        known.address,
    )
    if moved and known.state is not ServerState.LEFT:
        raise LineError(
            RefusalReason.SERVER_IN_USE,
            f"it is {known.state.value} in {known.data_centre!r} at {known.address}; "
            "set its state to left first, or use another name",
        )
    return _with_limits(requested, line)


def _with_limits(server: Server, line: ServerLine) -> Server:
    return msgspec.structs.replace(
        server,
        n_slots=line.n_slots or server.n_slots,
        n_flows_max=line.n_flows_max or server.n_flows_max,
    )
