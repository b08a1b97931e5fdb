"""Deltas between two revisions of a plan, and the transfer format of plans."""

from collections.abc import Container, Iterable
from typing import TypeVar

import msgspec

from ..errors import InputError
from ..types import DataCentreId, Revision, ServerId, ServiceId
from . import layout
from .digest import Part, part_digest
from .layout import Root, Shard
from .model import (
    DataCentre,
    Layer,
    Plan,
    RemovedDataCentre,
    RemovedService,
    Server,
    Service,
    ServiceLayers,
    SheetRecord,
    Write,
    in_seat_order,
)
from .retention import drop_tombstones

__all__ = [
    "FullPlan",
    "PlanAnswer",
    "PlanDelta",
    "delta_from_shards",
    "delta_since",
    "merge",
]

PartT = TypeVar("PartT", DataCentre, Service, Server, RemovedDataCentre, RemovedService)
IdT = TypeVar("IdT", DataCentreId, ServiceId)
ValueT = TypeVar("ValueT")


class PlanDelta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The parts of a plan that changed between two revisions.

    Parameters
    ----------
    since, revision : Revision
        The revision that the delta starts from (exclusive) and the one that it leads
        to (inclusive).
    digest : int
        Digest of the plan at `revision`.
    data_centres, services, servers : tuple
        Changed parts, including servers that left.
    layers : tuple of ServiceLayers
        Layers of the changed services that have any.
    history : tuple of Write
        The writes that made the changes, as far as the sender still has them.
    forgotten_at : Revision
        As in `Plan`.
    removed_data_centres, removed_services : tuple
        Tombstones of removed parts whose names are not in use again.
    sheet : SheetRecord or None
        As in `Plan`, if the sheet was applied after `since`.
    """

    since: Revision
    revision: Revision
    digest: int
    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()
    servers: tuple[Server, ...] = ()
    layers: tuple[ServiceLayers, ...] = ()
    history: tuple[Write, ...] = ()
    forgotten_at: Revision = Revision(0)
    removed_data_centres: tuple[RemovedDataCentre, ...] = ()
    removed_services: tuple[RemovedService, ...] = ()
    sheet: SheetRecord | None = None


class FullPlan(msgspec.Struct, frozen=True):
    """A complete plan for transfer: its root without store keys, and packed shards."""

    root: Root
    shards: tuple[str, ...]

    def plan(self) -> Plan:
        """Return the plan.

        Raises
        ------
        InputError
            ``plan.malformed_shard`` or ``plan.digest_mismatch``.
        """
        return layout.assemble(self.root, [layout.unpack(text) for text in self.shards])


class PlanAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response of an instance to a peer that requests its plan.

    Parameters
    ----------
    revision : Revision
        Revision of the responder's plan.
    contact_age_ms : int
        As in `PlanNews`.
    delta : PlanDelta or None
        The changes, if the responder can compute them.
    full : FullPlan or None
        The complete plan otherwise; both are None if the responder has nothing newer.
    packed : str
        A long delta in compressed form, instead of `delta`; see
        `sapphirerail_core.plan.packed_delta`.
    """

    revision: Revision
    contact_age_ms: int
    delta: PlanDelta | None = None
    full: FullPlan | None = None
    packed: str = ""


def delta_since(plan: Plan, since: Revision) -> PlanDelta | None:
    """Return the changes after a revision, or None if some were already dropped."""
    if since < plan.forgotten_at or since > plan.revision:
        return None
    services = _changed(plan.services.values(), since)
    return PlanDelta(
        since=since,
        revision=plan.revision,
        digest=plan.digest,
        data_centres=_changed(plan.data_centres.values(), since),
        services=services,
        servers=_changed(plan.servers.values(), since),
        layers=tuple(
            ServiceLayers(part.service, plan.layers[part.service])
            for part in services
            if part.service in plan.layers
        ),
        history=_history_since(plan.history, since),
        forgotten_at=plan.forgotten_at,
        removed_data_centres=_changed(plan.removed_data_centres.values(), since),
        removed_services=_changed(plan.removed_services.values(), since),
        sheet=_sheet_since(plan.sheet, since),
    )


def delta_from_shards(
    root: Root, shards: Iterable[Shard], since: Revision
) -> PlanDelta:
    """Return the changes after a revision, given the shards written since then.

    `merge` rejects the result if it does not follow from the plan that it is applied
    to.
    """
    loaded = tuple(shards)
    services = _changed((p for shard in loaded for p in shard.services), since)
    names = {part.service for part in services}
    return PlanDelta(
        since=since,
        revision=root.revision,
        digest=root.digest,
        data_centres=_changed(root.data_centres, since),
        services=services,
        servers=_changed((p for shard in loaded for p in shard.servers), since),
        layers=tuple(
            part for shard in loaded for part in shard.layers if part.service in names
        ),
        history=_history_since(root.history, since),
        forgotten_at=root.forgotten_at,
        removed_data_centres=_changed(root.removed_data_centres, since),
        removed_services=_changed(
            (p for shard in loaded for p in shard.removed_services), since
        ),
        sheet=_sheet_since(root.sheet, since),
    )


def merge(plan: Plan, delta: PlanDelta) -> Plan:
    """Apply a delta to a plan.

    Parameters
    ----------
    plan : Plan
        The local plan; its revision must be at least ``delta.since``.
    delta : PlanDelta
        The changes.

    Returns
    -------
    Plan
        The plan at ``delta.revision``, or the given plan if it is not older.

    Raises
    ------
    InputError
        ``plan.gap`` if changes in between are missing; ``plan.digest_mismatch`` if
        the result differs from the sender's plan, which happens after a store lost
        writes.
    """
    if delta.revision <= plan.revision:
        return plan
    if delta.since > plan.revision:
        text = (
            f"changes between revisions {plan.revision} and {delta.since} are missing"
        )
        raise InputError("plan.gap", text)
    merged = msgspec.structs.replace(
        plan,
        revision=delta.revision,
        servers=plan.servers | {p.server: p for p in delta.servers},
        layers=_merged_layers(plan, delta),
        digest=_merged_digest(plan, delta),
        history=_merged_history(plan.history, delta.history),
        sheet=delta.sheet or plan.sheet,
        **_merged_data_centres(plan, delta),
        **_merged_services(plan, delta),
    )
    merged = drop_tombstones(merged, delta.forgotten_at)
    _update_index(plan, merged, delta)
    if merged.digest != delta.digest:
        text = (
            f"the delta to revision {delta.revision} does not follow from the plan at "
            f"revision {plan.revision}"
        )
        raise InputError("plan.digest_mismatch", text)
    return merged


def _merged_data_centres(plan: Plan, delta: PlanDelta) -> dict[str, object]:
    """Return the data centre fields of the merged plan.

    A name is either in use or removed, never both.
    """
    used = {part.data_centre: part for part in delta.data_centres}
    removed = {part.data_centre: part for part in delta.removed_data_centres}
    return {
        "data_centres": _without(plan.data_centres, removed) | used,
        "removed_data_centres": _without(plan.removed_data_centres, used) | removed,
    }


def _merged_services(plan: Plan, delta: PlanDelta) -> dict[str, object]:
    """Return the service fields of the merged plan.

    A name is either in use or removed, never both.
    """
    used = {part.service: part for part in delta.services}
    removed = {part.service: part for part in delta.removed_services}
    return {
        "services": _without(plan.services, removed) | used,
        "removed_services": _without(plan.removed_services, used) | removed,
    }


def _without(parts: dict[IdT, ValueT], names: Container[IdT]) -> dict[IdT, ValueT]:
    return {name: part for name, part in parts.items() if name not in names}


def _update_index(plan: Plan, merged: Plan, delta: PlanDelta) -> None:
    """Derive the merged plan's server index from that of the previous plan.

    Rebuilding it would block the event loop for tens of milliseconds with 28,000
    servers.
    """
    known = plan.__dict__.get("servers_by_service")
    if known is None:
        return
    index = known | {
        part.service: known.get(part.service, ()) for part in delta.services
    }
    changed: dict[ServiceId, dict[ServerId, Server]] = {}
    for server in delta.servers:
        changed.setdefault(server.service, {})[server.server] = server
    for service, servers in changed.items():
        if service not in merged.services:
            continue
        kept = {server.server: server for server in index.get(service, ())}
        index[service] = in_seat_order((kept | servers).values())
    for removed in delta.removed_services:
        index.pop(removed.service, None)
    merged.__dict__["servers_by_service"] = index


def _changed(parts: Iterable[PartT], since: Revision) -> tuple[PartT, ...]:
    return tuple(part for part in parts if part.changed_at > since)


def _history_since(history: tuple[Write, ...], since: Revision) -> tuple[Write, ...]:
    return tuple(write for write in history if write.revision > since)


def _sheet_since(sheet: SheetRecord | None, since: Revision) -> SheetRecord | None:
    return sheet if sheet is not None and sheet.revision > since else None


def _merged_layers(plan: Plan, delta: PlanDelta) -> dict[ServiceId, tuple[Layer, ...]]:
    """Return the merged layers.

    A changed service without layers in the delta has none any more.
    """
    changed = {part.service for part in delta.services}
    changed |= {part.service for part in delta.removed_services}
    kept = {k: v for k, v in plan.layers.items() if k not in changed}
    return kept | {part.service: part.layers for part in delta.layers}


def _merged_digest(plan: Plan, delta: PlanDelta) -> int:
    digest = plan.digest
    pairs: list[tuple[Part | None, Part]] = []
    data_centres: list[DataCentre | RemovedDataCentre] = [*delta.data_centres]
    data_centres += delta.removed_data_centres
    for data_centre in data_centres:
        name = data_centre.data_centre
        known = plan.data_centres.get(name) or plan.removed_data_centres.get(name)
        pairs.append((known, data_centre))
    services: list[Service | RemovedService] = [*delta.services]
    services += delta.removed_services
    for service in services:
        known_service = plan.services.get(service.service)
        pairs.append(
            (known_service or plan.removed_services.get(service.service), service)
        )
        layers = plan.layers.get(service.service)
        if layers is not None:
            digest ^= part_digest(ServiceLayers(service.service, layers))
    pairs += [(plan.servers.get(p.server), p) for p in delta.servers]
    pairs += [(None, part) for part in delta.layers]
    for old, new in pairs:
        if old is not None:
            digest ^= part_digest(old)
        digest ^= part_digest(new)
    return digest


def _merged_history(
    old: tuple[Write, ...], new: tuple[Write, ...]
) -> tuple[Write, ...]:
    if not new:
        return old
    kept = tuple(write for write in old if write.revision < new[0].revision)
    return (kept + new)[-layout.HISTORY_LENGTH :]
