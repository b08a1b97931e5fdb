"""A bounded, compact table of flows in order of their last use."""

from array import array
from collections.abc import Iterator
from enum import IntEnum

from ..types import FlowId, InstanceId, ServerId, ServiceId, TrafficClass
from .names import Names

__all__ = ["FlowMark", "FlowTable"]

_TIME_UNIT_MS = 100  # 32 bits of 100 ms last for 13 years
_NONE = 0xFFFFFFFF
_BEFORE_START_MS = 60_000  # records tell of packets from before this instance's start


class FlowMark(IntEnum):
    """Bits of a table entry."""

    CONFIRMED = 1  # the server or a record said that the flow is there
    REGISTERED = 2  # this instance keeps records of it at the owners
    WATCHED = 4  # a timer of this entry is running
    AWAITING = 8  # the caller sent and the server has not been heard since
    PROBED = 16  # a keepalive of this instance is not yet answered
    SECOND_PATH = 32  # taken over because another instance got no answer
    ANSWERING = 64  # the server sends through this instance
    ENDED = 128  # closed; kept for late datagrams
    HOLDING = 256  # no claim to be the way back is due
    HEARD = 512  # the server sent something of the flow to this instance
    NEW = 1024  # opened here just now; nobody else can have registered it
    CLAIM_DUE = 2048  # to be claimed once the server's answer shows that it is there
    SECOND_DUE = 4096  # claimed at the first owner only


class FlowTable:
    """Flows by service and number; the longest unused one goes first.

    Entries are rows of parallel arrays. A row's number is valid until the row is
    removed.

    Parameters
    ----------
    n_flows_max : int
        Bound of the table.
    """

    def __init__(self, n_flows_max: int) -> None:
        self.n_flows_max = n_flows_max
        self.n_evicted = 0
        self._rows: dict[ServiceId, dict[FlowId, int]] = {}
        self._services: Names[ServiceId] = Names()
        self._servers: Names[ServerId] = Names()
        self._holders: Names[InstanceId] = Names()
        self._epoch_ms: int | None = None
        self._flow = array("Q")
        self._service = array("H")
        self._server = array("H")
        self._holder = array("H")
        self._caller = array("Q")
        self._class = array("B")
        self._marks = array("H")
        self._caller_at = array("I")
        self._server_at = array("I")
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
        """Return the number of rows, free ones included."""
        return len(self._flow)

    def find(self, service: ServiceId, flow: FlowId) -> int | None:
        """Return the row of a flow, or None."""
        rows = self._rows.get(service)
        return None if rows is None else rows.get(flow)

    def oldest(self) -> int | None:
        """Return the row that was not used for the longest time."""
        return None if self._oldest == _NONE else self._oldest

    def is_full(self) -> bool:
        """Return whether the next insertion needs a removal first."""
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
        self._marks[row] = 0
        self._caller_at[row] = self._server_at[row] = self._time(now_ms)
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
        """Make a row the last one to be evicted."""
        if row == self._newest:
            return
        self._unlink(row)
        self._append(row)

    def rows(self, start: int, n_rows: int) -> Iterator[int]:
        """Yield the used rows among `n_rows` rows from a start."""
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
        """Return the answering instance of a flow; only set in records."""
        return self._holders.name(self._holder[row])

    def set_holder(self, row: int, holder: InstanceId) -> None:
        """Set the answering instance of a flow."""
        self._holder[row] = self._holders.number(holder)

    def rows_held_by(self, holder: InstanceId) -> list[int]:
        """Return the used rows with an answering instance."""
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
        """Return the class of a flow."""
        return TrafficClass(self._class[row])

    def set_traffic_class(self, row: int, traffic_class: TrafficClass) -> None:
        """Set the class of a flow."""
        self._class[row] = traffic_class

    def has(self, row: int, marks: int) -> bool:
        """Return whether any of the marks is set."""
        return self._marks[row] & marks != 0

    def mark(self, row: int, marks: int) -> None:
        """Set marks."""
        self._marks[row] |= marks

    def unmark(self, row: int, marks: int) -> None:
        """Clear marks."""
        self._marks[row] &= ~marks

    def hear_caller(self, row: int, now_ms: int) -> None:
        """Note that the caller was heard."""
        self._caller_at[row] = self._time(now_ms)
        self.touch(row)

    def hear_server(self, row: int, now_ms: int) -> None:
        """Note that the server was heard."""
        self._server_at[row] = self._time(now_ms)
        self.touch(row)

    def idle_ms(self, row: int, now_ms: int) -> int:
        """Return for how long neither side was heard, to a tenth of a second."""
        heard = max(self._caller_at[row], self._server_at[row])
        return (self._time(now_ms) - heard) * _TIME_UNIT_MS

    def caller_idle_ms(self, row: int, now_ms: int) -> int:
        """Return for how long the caller was not heard."""
        return (self._time(now_ms) - self._caller_at[row]) * _TIME_UNIT_MS

    def server_idle_ms(self, row: int, now_ms: int) -> int:
        """Return for how long the server was not heard."""
        return (self._time(now_ms) - self._server_at[row]) * _TIME_UNIT_MS

    def _time(self, now_ms: int) -> int:
        if self._epoch_ms is None:
            self._epoch_ms = now_ms - _BEFORE_START_MS
        return max(0, now_ms - self._epoch_ms) // _TIME_UNIT_MS

    def _grow(self) -> int:
        row = len(self._flow)
        for column in (self._flow, self._caller):
            column.append(0)
        for column in (self._service, self._server, self._holder, self._marks):
            column.append(0)
        self._class.append(0)
        for column in (self._caller_at, self._server_at, self._older, self._newer):
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
