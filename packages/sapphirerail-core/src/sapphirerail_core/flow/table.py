"""Bounded, compact table of flows in order of last use."""

from array import array
from collections.abc import Iterator
from enum import IntEnum

from ..types import FlowId, InstanceId, ServerId, ServiceId, TrafficClass
from .interning import NameInterner

__all__ = ["FlowFlag", "FlowTable"]

_TIME_UNIT_MS = 100  # 32 bits of this unit last for 13 years
_NONE = 0xFFFFFFFF
# Records can state times from before the start of this instance.
_BEFORE_START_MS = 60_000


class FlowFlag(IntEnum):
    """Flags of a table entry, as bits.

    The holder of a flow is the instance on its return path, which registers itself as
    such at the flow's owners.
    """

    CONFIRMED = 1  # the server or a record confirmed the flow's server
    REGISTERED = 2  # this instance maintains records of the flow at its owners
    TIMER_RUNNING = 4  # a timer to check the entry is running
    AWAITING_SERVER = 8  # the server has not responded since the caller's last datagram
    PROBE_PENDING = 16  # a keepalive sent by this instance is not answered yet
    DETOURED = 32  # taken over from an instance that the server did not respond to
    RETURN_PATH = 64  # this instance is on the flow's return path
    COMPLETED = 128  # kept for late datagrams only
    HOLDER_SETTLED = 256  # no registration as holder is due
    SERVER_RESPONDED = 512  # the server has sent this instance a datagram
    NEW = 1024  # just opened here, so no other instance can have registered it
    REGISTER_ON_RESPONSE = 2048  # register once a response confirms the server
    SECOND_REGISTRATION_DUE = 4096  # registered at the first owner only


class FlowTable:
    """Table of flows by service and flow number, in least recently used order.

    Entries are rows of parallel arrays. A row's number is valid until the row is
    removed.

    Parameters
    ----------
    n_flows_max : int
        Capacity of the table.
    """

    def __init__(self, n_flows_max: int) -> None:
        self.n_flows_max = n_flows_max
        self.n_evicted = 0
        self._rows: dict[ServiceId, dict[FlowId, int]] = {}
        self._services: NameInterner[ServiceId] = NameInterner()
        self._servers: NameInterner[ServerId] = NameInterner()
        self._holders: NameInterner[InstanceId] = NameInterner()
        self._epoch_ms: int | None = None
        self._flow = array("Q")
        self._service = array("H")
        self._server = array("H")
        self._holder = array("H")
        self._caller = array("Q")
        self._class = array("B")
        self._flags = array("H")
        self._caller_contact = array("I")
        self._server_contact = array("I")
        self._older = array("I")
        self._newer = array("I")
        self._free: array[int] = array("I")
        self._oldest = _NONE
        self._newest = _NONE
        self._n_flows = 0

    def __len__(self) -> int:
        """Return the number of flows."""
        return self._n_flows

    @property
    def n_rows(self) -> int:
        """Return the number of rows, including free ones."""
        return len(self._flow)

    def find(self, service: ServiceId, flow: FlowId) -> int | None:
        """Return the row of a flow, or None."""
        rows = self._rows.get(service)
        return None if rows is None else rows.get(flow)

    def oldest(self) -> int | None:
        """Return the least recently used row, or None if the table is empty."""
        return None if self._oldest == _NONE else self._oldest

    def is_full(self) -> bool:
        """Return whether a row has to be removed before the next insertion."""
        return self._n_flows >= self.n_flows_max

    def insert(
        self, service: ServiceId, flow: FlowId, server: ServerId, now_ms: int
    ) -> int:
        """Add a flow that is not in the table and return its row."""
        row = self._free.pop() if self._free else self._grow()
        self._flow[row] = flow
        self._service[row] = self._services.number(service)
        self._server[row] = self._servers.number(server)
        self._holder[row] = 0
        self._caller[row] = 0
        self._class[row] = 0
        self._flags[row] = 0
        self._caller_contact[row] = self._server_contact[row] = self._time(now_ms)
        self._rows.setdefault(service, {})[flow] = row
        self._append(row)
        self._n_flows += 1
        return row

    def remove(self, row: int) -> None:
        """Remove a row."""
        rows = self._rows[self.service(row)]
        del rows[self.flow(row)]
        if not rows:
            del self._rows[self.service(row)]
        self._unlink(row)
        self._older[row] = row  # a row that is its own neighbour is free
        self._free.append(row)
        self._n_flows -= 1

    def is_used(self, row: int) -> bool:
        """Return whether a row holds a flow."""
        return self._older[row] != row

    def touch(self, row: int) -> None:
        """Mark a row as the most recently used one."""
        if row == self._newest:
            return
        self._unlink(row)
        self._append(row)

    def rows(self, start: int, n_rows: int) -> Iterator[int]:
        """Yield the used rows among `n_rows` rows from `start`."""
        for row in range(start, min(start + n_rows, len(self._flow))):
            if self._older[row] != row:
                yield row

    def rows_at(self, servers: set[ServerId]) -> list[int]:
        """Return the used rows of flows at any of the servers."""
        numbers = {self._servers.number(server) for server in servers}
        return [
            row
            for row, number in enumerate(self._server)
            if number in numbers and self._older[row] != row
        ]

    def service(self, row: int) -> ServiceId:
        """Return the service of a flow."""
        return self._services.name(self._service[row])

    def flow(self, row: int) -> FlowId:
        """Return the number of a flow."""
        return FlowId(self._flow[row])

    def server(self, row: int) -> ServerId:
        """Return the server of a flow."""
        return self._servers.name(self._server[row])

    def set_server(self, row: int, server: ServerId) -> None:
        """Set the server of a flow."""
        self._server[row] = self._servers.number(server)

    def holder(self, row: int) -> InstanceId:
        """Return the holder of a flow; it is set in the record table only."""
        return self._holders.name(self._holder[row])

    def set_holder(self, row: int, holder: InstanceId) -> None:
        """Set the holder of a flow."""
        self._holder[row] = self._holders.number(holder)

    def rows_held_by(self, holder: InstanceId) -> list[int]:
        """Return the used rows of flows with a holder."""
        number = self._holders.number(holder)
        return [
            row
            for row, other in enumerate(self._holder)
            if other == number and self._older[row] != row
        ]

    def caller(self, row: int) -> int:
        """Return the packed address of the caller."""
        return self._caller[row]

    def set_caller(self, row: int, caller: int) -> None:
        """Set the packed address of the caller."""
        self._caller[row] = caller

    def traffic_class(self, row: int) -> TrafficClass:
        """Return the traffic class of a flow."""
        return TrafficClass(self._class[row])

    def set_traffic_class(self, row: int, traffic_class: TrafficClass) -> None:
        """Set the traffic class of a flow."""
        self._class[row] = traffic_class

    def has_flag(self, row: int, flags: int) -> bool:
        """Return whether any of the flags is set."""
        return self._flags[row] & flags != 0

    def set_flags(self, row: int, flags: int) -> None:
        """Set flags."""
        self._flags[row] |= flags

    def clear_flags(self, row: int, flags: int) -> None:
        """Clear flags."""
        self._flags[row] &= ~flags

    def record_caller_contact(self, row: int, now_ms: int) -> None:
        """Record a contact with the caller."""
        self._caller_contact[row] = self._time(now_ms)
        self.touch(row)

    def record_server_contact(self, row: int, now_ms: int) -> None:
        """Record a contact with the server."""
        self._server_contact[row] = self._time(now_ms)
        self.touch(row)

    def idle_ms(self, row: int, now_ms: int) -> int:
        """Return the time since the last contact with either side, to 100 ms."""
        last_contact = max(self._caller_contact[row], self._server_contact[row])
        return (self._time(now_ms) - last_contact) * _TIME_UNIT_MS

    def caller_idle_ms(self, row: int, now_ms: int) -> int:
        """Return the time since the last contact with the caller."""
        return (self._time(now_ms) - self._caller_contact[row]) * _TIME_UNIT_MS

    def server_idle_ms(self, row: int, now_ms: int) -> int:
        """Return the time since the last contact with the server."""
        return (self._time(now_ms) - self._server_contact[row]) * _TIME_UNIT_MS

    def _time(self, now_ms: int) -> int:
        if self._epoch_ms is None:
            self._epoch_ms = now_ms - _BEFORE_START_MS
        return max(0, now_ms - self._epoch_ms) // _TIME_UNIT_MS

    def _grow(self) -> int:
        row = len(self._flow)
        for column in (self._flow, self._caller):
            column.append(0)
        for column in (self._service, self._server, self._holder, self._flags):
            column.append(0)
        self._class.append(0)
        for column in (
            self._caller_contact,
            self._server_contact,
            self._older,
            self._newer,
        ):
            column.append(0)
        return row

    def _append(self, row: int) -> None:
        self._older[row] = self._newest
        self._newer[row] = _NONE
        if self._newest == _NONE:
            self._oldest = row
        else:
            self._newer[self._newest] = row
        self._newest = row

    def _unlink(self, row: int) -> None:
        older, newer = self._older[row], self._newer[row]
        if older == _NONE:
            self._oldest = newer
        else:
            self._newer[older] = newer
        if newer == _NONE:
            self._newest = older
        else:
            self._older[newer] = older
