"""Sheet lines applied to a plan: the next plan, and an answer for each line."""

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
from .draft_parts import DraftParts, Statement
from .layers import next_layers
from .model import DataCentre, Layer, Plan, ServiceLayers
from .places import changed_server, new_server
from .removal import added_service, removed_data_centre, removed_service
from .retention import forget_gone, forgotten_at
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
    """What became of a sheet line."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    REFUSED = "refused"


class LineResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer for one sheet line.

    Parameters
    ----------
    number : int
        Line of the file.
    name : str
        What the line is about.
    outcome : Outcome
        Whether the plan changed, already said so, or the line was refused.
    revision : Revision
        Revision from which on the line is part of the plan; 0 if refused.
    code, reason : str
        Why it was refused; empty otherwise.
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
        Parts of the plan that differ.
    """

    plan: Plan
    results: tuple[LineResult, ...]
    n_changed: int


def apply_lines(
    plan: Plan, lines: Iterable[SheetLine], base: Revision, now_ms: int
) -> Change:
    """Return the plan that follows when the lines are applied.

    Data centres come first, then services, servers that leave, other servers, and
    removals, whatever their order in the file: a sheet is a set of statements.

    Parameters
    ----------
    plan : Plan
        The plan in the store.
    lines : iterable of SheetLine
        Lines without contradictions.
    base : Revision
        The revision that the operator knew. A line that would alter a part that
        changed since is refused with ``sheet.race``.
    now_ms : int
        Wall clock of the writer, in milliseconds since 1970; layers go by it.

    Returns
    -------
    Change
        The next plan at ``plan.revision + 1``, and the result of each line.
    """
    draft = _Draft(plan, base)
    results = [draft.apply(line) for line in sorted(lines, key=_order)]
    results.sort(key=lambda result: result.number)
    if draft.n_changed == 0:
        return Change(plan, tuple(results), 0)
    return Change(draft.finish(now_ms), tuple(results), draft.n_changed)


def refused_result(refusal: Refusal) -> LineResult:
    """Return the result of a line that the sheet's reader refused."""
    return LineResult(
        number=refusal.number,
        name=refusal.name,
        outcome=Outcome.REFUSED,
        code=refusal.code.value,
        reason=refusal.reason,
    )


def _order(line: SheetLine) -> tuple[int, int]:
    if isinstance(line, DataCentreLine):
        return (4 if line.is_removed else 0), line.number
    if isinstance(line, ServiceLine):
        return (4 if line.is_removed else 1), line.number
    leaves = line.state in (ServerState.LEFT, ServerState.DRAINING)
    return (2 if leaves else 3), line.number


def _layers_of(
    name: ServiceId, layers: dict[ServiceId, tuple[Layer, ...]]
) -> ServiceLayers | None:
    found = layers.get(name)
    return None if found is None else ServiceLayers(name, found)


class _Draft:
    """A plan that is being changed."""

    def __init__(self, plan: Plan, base: Revision) -> None:
        self.n_changed = 0
        self._plan = plan
        self._base = base
        self._revision = Revision(plan.revision + 1)
        self._parts = DraftParts(plan)

    def apply(self, line: SheetLine) -> LineResult:
        """Apply one line, or refuse it and leave the draft as it is."""
        try:
            known, wanted = self._wanted(line)
            if known == wanted and known is not None:
                return self._result(line, Outcome.UNCHANGED, known.changed_at)
            self._check_race(known)
        except LineError as error:
            refusal = Refusal(line.number, line.name, error.code, error.reason)
            return refused_result(refusal)
        self._replace(known, msgspec.structs.replace(wanted, changed_at=self._revision))
        return self._result(line, Outcome.CHANGED, self._revision)

    def finish(self, now_ms: int) -> Plan:
        """Return the changed plan; its history is written by who commits it."""
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
        self._stamp_layers(layers)
        changed = msgspec.structs.replace(changed, digest=parts.digest, layers=layers)
        return forget_gone(changed, forgotten_at(changed))

    def _stamp_layers(self, layers: dict[ServiceId, tuple[Layer, ...]]) -> None:
        """Let a service whose layers differ count as changed, so that deltas tell."""
        old = self._plan.layers
        for name in old.keys() | layers.keys():
            if old.get(name) == layers.get(name):
                continue
            self._parts.exchange(_layers_of(name, old), _layers_of(name, layers))
            self._parts.stamp(name, self._revision)

    def _result(
        self, line: SheetLine, outcome: Outcome, revision: Revision
    ) -> LineResult:
        return LineResult(
            number=line.number, name=line.name, outcome=outcome, revision=revision
        )

    def _check_race(self, known: Statement | None) -> None:
        if known is None:
            self._check_remembered()
            return
        if known.changed_at == self._revision:
            return
        if known.changed_at > self._base:
            raise LineError(
                RefusalReason.RACE,
                f"revision {known.changed_at} changed it after revision {self._base}, "
                "which this sheet was applied to; look at it and apply again",
            )

    def _check_remembered(self) -> None:
        """Refuse to add what may have been removed after the base, and forgotten."""
        if self._base < self._plan.forgotten_at:
            raise LineError(
                RefusalReason.RACE,
                f"what left up to revision {self._plan.forgotten_at} is not known any "
                f"more, and this sheet is of revision {self._base}; export it again",
            )

    @singledispatchmethod
    def _wanted(self, line: SheetLine) -> tuple[Statement | None, Statement]:
        """Return the part that the plan has and the one that the line asks for."""
        raise NotImplementedError(type(line).__name__)

    @_wanted.register
    def _(self, line: DataCentreLine) -> tuple[Statement | None, Statement]:
        known = self._parts.data_centres.get(line.name)
        removed = self._parts.removed_data_centres.get(line.name)
        if line.is_removed:
            return known or removed, removed_data_centre(
                known or removed, self._parts.places
            )
        if known is None:
            return removed, DataCentre(line.name, line.state or DataCentreState.IN)
        return known, msgspec.structs.replace(known, state=line.state or known.state)

    @_wanted.register
    def _(self, line: ServiceLine) -> tuple[Statement | None, Statement]:
        known = self._parts.services.get(line.name)
        removed = self._parts.removed_services.get(line.name)
        if line.is_removed:
            found = known or removed
            return found, removed_service(found, line, self._parts.places)
        if known is None:
            return removed, added_service(removed, line)
        if known.tenant != line.tenant:
            reason = f"it belongs to {known.tenant!r}; give the service another name"
            raise LineError(RefusalReason.TENANT_FIXED, reason)
        return known, known

    @_wanted.register
    def _(self, line: ServerLine) -> tuple[Statement | None, Statement]:
        known = self._parts.servers.get(line.name)
        wanted = new_server(line) if known is None else changed_server(known, line)
        if known == wanted and wanted.state is ServerState.LEFT:
            # Its service or data centre may have been removed since.
            return known, wanted
        if wanted.service not in self._parts.services:
            reason = f"service {wanted.service!r} is in neither the sheet nor the plan"
            raise LineError(RefusalReason.UNKNOWN_SERVICE, reason)
        if wanted.data_centre not in self._parts.data_centres:
            reason = (
                f"data centre {wanted.data_centre!r} is in neither the sheet "
                "nor the plan"
            )
            raise LineError(RefusalReason.UNKNOWN_DATA_CENTRE, reason)
        if wanted.state is not ServerState.LEFT:
            wanted = self._parts.places.placed(known, line.seat, wanted)
        return known, wanted

    def _replace(self, known: Statement | None, wanted: Statement) -> None:
        """Put a part into the draft."""
        # A part that two equal lines of one sheet name counts once.
        if known is None or known.changed_at != self._revision:
            self.n_changed += 1
        self._parts.replace(known, wanted)
