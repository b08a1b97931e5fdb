"""Applies sheet lines to a plan: the next plan, and a result for each line."""

from collections.abc import Iterable
from enum import Enum
from functools import singledispatchmethod

import msgspec

from ..types import (
    DataCentreState,
    Revision,
    ServerState,
    ServiceId,
)
from .draft_parts import DraftParts, RevisedPart
from .layers import next_layers
from .model import DataCentre, Layer, Plan, ServiceLayers
from .removal import data_centre_tombstone, new_service, service_tombstone
from .retention import drop_tombstones, next_forgotten_at
from .server_index import new_server, updated_server
from .sheet_line import (
    DataCentreLine,
    LineError,
    Refusal,
    RefusalReason,
    ServerLine,
    ServiceLine,
    SheetLine,
)

__all__ = ["Change", "LineResult", "Outcome", "apply_lines", "refused_result"]


class Outcome(Enum):
    """Outcome of applying a sheet line."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    REFUSED = "refused"


class LineResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one sheet line.

    Parameters
    ----------
    number : int
        Line of the file.
    name : str
        Name of the data centre, service or server.
    outcome : Outcome
        Whether the line changed the plan, was in force already, or was refused.
    revision : Revision
        First revision that contains the line; 0 if refused.
    code, reason : str
        Code and text of the refusal; empty otherwise.
    """

    number: int
    name: str
    outcome: Outcome
    revision: Revision = Revision(0)
    code: str = ""
    reason: str = ""


class Change(msgspec.Struct, frozen=True):
    """The outcome of applying lines to a plan.

    Parameters
    ----------
    plan : Plan
        The next plan, or the given one if nothing changes.
    results : tuple of LineResult
        One for each line, in the order of the file.
    n_changed : int
        Number of parts of the plan that differ.
    """

    plan: Plan
    results: tuple[LineResult, ...]
    n_changed: int


def apply_lines(
    plan: Plan, lines: Iterable[SheetLine], base: Revision, now_ms: int
) -> Change:
    """Apply sheet lines to a plan.

    Data centres are applied first, then services, servers that leave, other servers,
    and removals, regardless of their order in the file: a sheet is declarative.

    Parameters
    ----------
    plan : Plan
        The plan in the store.
    lines : iterable of SheetLine
        Lines that do not contradict each other.
    base : Revision
        The revision that the sheet is based on. A line that would alter a part that
        has changed since then is refused with ``sheet.race``.
    now_ms : int
        Wall-clock time of the writer, in milliseconds since 1970; layers expire by
        it.

    Returns
    -------
    Change
        The next plan at ``plan.revision + 1``, and the result of each line.
    """
    draft = _Draft(plan, base)
    results = [draft.apply(line) for line in sorted(lines, key=_apply_order)]
    results.sort(key=lambda result: result.number)
    if draft.n_changed == 0:
        return Change(plan, tuple(results), 0)
    return Change(draft.finish(now_ms), tuple(results), draft.n_changed)


def refused_result(refusal: Refusal) -> LineResult:
    """Return the result of a line that the sheet parser refused."""
    return LineResult(
        number=refusal.number,
        name=refusal.name,
        outcome=Outcome.REFUSED,
        code=refusal.code.value,
        reason=refusal.reason,
    )


def _apply_order(line: SheetLine) -> tuple[int, int]:
    if isinstance(line, DataCentreLine):
        return (4 if line.is_removed else 0), line.number
    if isinstance(line, ServiceLine):
        return (4 if line.is_removed else 1), line.number
    is_leaving = line.state in (ServerState.LEFT, ServerState.DRAINING)
    return (2 if is_leaving else 3), line.number


def _service_layers(
    name: ServiceId, layers: dict[ServiceId, tuple[Layer, ...]]
) -> ServiceLayers | None:
    past = layers.get(name)
    return None if past is None else ServiceLayers(name, past)


class _Draft:
    """A plan under construction."""

    def __init__(self, plan: Plan, base: Revision) -> None:
        self.n_changed = 0
        self._plan = plan
        self._base = base
        self._revision = Revision(plan.revision + 1)
        self._parts = DraftParts(plan)

    def apply(self, line: SheetLine) -> LineResult:
        """Apply one line, or refuse it and leave the draft unchanged."""
        try:
            known, requested = self._requested(line)
            if known == requested and known is not None:
                return self._result(line, Outcome.UNCHANGED, known.changed_at)
            self._check_race(known)
        except LineError as error:
            refusal = Refusal(line.number, line.name, error.code, error.reason)
            return refused_result(refusal)
        self._replace(
            known, msgspec.structs.replace(requested, changed_at=self._revision)
        )
        return self._result(line, Outcome.CHANGED, self._revision)

    def finish(self, now_ms: int) -> Plan:
        """Return the changed plan; whoever commits it updates its history."""
        parts = self._parts
        changed = msgspec.structs.replace(
            self._plan,
            revision=self._revision,
            data_centres=parts.data_centres,
            services=parts.services,
            servers=parts.servers,
            removed_data_centres=parts.removed_data_centres,
            removed_services=parts.removed_services,
        )
        layers = next_layers(self._plan, changed, now_ms)
        self._mark_changed_layers(layers)
        changed = msgspec.structs.replace(changed, digest=parts.digest, layers=layers)
        return drop_tombstones(changed, next_forgotten_at(changed))

    def _mark_changed_layers(self, layers: dict[ServiceId, tuple[Layer, ...]]) -> None:
        """Mark services with changed layers as changed, so that deltas include them."""
        old = self._plan.layers
        for name in old.keys() | layers.keys():
            if old.get(name) == layers.get(name):
                continue
            self._parts.update_digest(
                _service_layers(name, old), _service_layers(name, layers)
            )
            self._parts.mark_changed(name, self._revision)

    def _result(
        self, line: SheetLine, outcome: Outcome, revision: Revision
    ) -> LineResult:
        return LineResult(
            number=line.number, name=line.name, outcome=outcome, revision=revision
        )

    def _check_race(self, known: RevisedPart | None) -> None:
        if known is None:
            self._check_not_dropped()
            return
        if known.changed_at == self._revision:
            return
        if known.changed_at > self._base:
            raise LineError(
                RefusalReason.RACE,
                f"revision {known.changed_at} changed it after revision {self._base}, "
                "which this sheet is based on; review the change and apply again",
            )

    def _check_not_dropped(self) -> None:
        """Refuse to add a name whose tombstone may have been dropped after the base."""
        if self._base < self._plan.forgotten_at:
            raise LineError(
                RefusalReason.RACE,
                f"removals up to revision {self._plan.forgotten_at} are no longer "
                f"recorded, and this sheet is based on revision {self._base}; "
                "export it again",
            )

    @singledispatchmethod
    def _requested(self, line: SheetLine) -> tuple[RevisedPart | None, RevisedPart]:
        """Return the part in the plan and the part that the line requests."""
        raise NotImplementedError(type(line).__name__)

    @_requested.register
    def _(self, line: DataCentreLine) -> tuple[RevisedPart | None, RevisedPart]:
        known = self._parts.data_centres.get(line.name)
        removed = self._parts.removed_data_centres.get(line.name)
        if line.is_removed:
            return known or removed, data_centre_tombstone(
                known or removed, self._parts.server_index
            )
        if known is None:
            return removed, DataCentre(line.name, line.state or DataCentreState.IN)
        return known, msgspec.structs.replace(known, state=line.state or known.state)

    @_requested.register
    def _(self, line: ServiceLine) -> tuple[RevisedPart | None, RevisedPart]:
        known = self._parts.services.get(line.name)
        removed = self._parts.removed_services.get(line.name)
        if line.is_removed:
            current = known or removed
            return current, service_tombstone(current, line, self._parts.server_index)
        if known is None:
            return removed, new_service(removed, line)
        if known.tenant != line.tenant:
            reason = (
                f"it belongs to tenant {known.tenant!r}; give the service another name"
            )
            raise LineError(RefusalReason.TENANT_FIXED, reason)
        return known, known

    @_requested.register
    def _(self, line: ServerLine) -> tuple[RevisedPart | None, RevisedPart]:
        known = self._parts.servers.get(line.name)
        requested = new_server(line) if known is None else updated_server(known, line)
        if known == requested and requested.state is ServerState.LEFT:
            # Its service or data centre may have been removed since it left.
            return known, requested
        if requested.service not in self._parts.services:
            reason = (
                f"service {requested.service!r} is in neither the sheet nor the plan"
            )
            raise LineError(RefusalReason.UNKNOWN_SERVICE, reason)
        if requested.data_centre not in self._parts.data_centres:
            reason = (
                f"data centre {requested.data_centre!r} is in neither the sheet "
                "nor the plan"
            )
            raise LineError(RefusalReason.UNKNOWN_DATA_CENTRE, reason)
        if requested.state is not ServerState.LEFT:
            requested = self._parts.server_index.assign_seat(
                known, line.seat, requested
            )
        return known, requested

    def _replace(self, known: RevisedPart | None, requested: RevisedPart) -> None:
        """Replace a part of the draft."""
        # A part that is named by two equal lines of one sheet counts once.
        if known is None or known.changed_at != self._revision:
            self.n_changed += 1
        self._parts.replace(known, requested)
