"""The parts of a plan under construction, and their digest."""

from functools import singledispatchmethod

import msgspec

from ..types import DataCentreId, Revision, ServerId, ServiceId
from .digest import Part, part_digest
from .model import (
    DataCentre,
    Plan,
    RemovedDataCentre,
    RemovedService,
    Server,
    Service,
)
from .server_index import ServerIndex

__all__ = ["DraftParts", "RevisedPart"]

RevisedPart = DataCentre | Service | Server | RemovedDataCentre | RemovedService


class DraftParts:
    """Parts by id; the digest is updated with each replacement.

    Parameters
    ----------
    plan : Plan
        The plan to start from.

    Attributes
    ----------
    data_centres, services, servers, removed_data_centres, removed_services
        As in `Plan`.
    server_index : ServerIndex
        Addresses and seats that are in use.
    digest : int
        Digest of all parts.
    """

    def __init__(self, plan: Plan) -> None:
        self.data_centres: dict[DataCentreId, DataCentre] = dict(plan.data_centres)
        self.services: dict[ServiceId, Service] = dict(plan.services)
        self.servers: dict[ServerId, Server] = dict(plan.servers)
        self.removed_data_centres = dict(plan.removed_data_centres)
        self.removed_services = dict(plan.removed_services)
        self.server_index = ServerIndex(plan.servers.values())
        self.digest = plan.digest

    def replace(self, known: RevisedPart | None, requested: RevisedPart) -> None:
        """Replace the known part of a name, if any, by the requested one."""
        if known is not None:
            self.digest ^= part_digest(known)
            self._remove(known)
        self.digest ^= part_digest(requested)
        self._insert(requested)

    def mark_changed(self, name: ServiceId, revision: Revision) -> None:
        """Mark a service as changed at a revision, if the plan still has it."""
        known = self.services.get(name)
        if known is not None:
            self.replace(known, msgspec.structs.replace(known, changed_at=revision))

    def update_digest(self, old: Part | None, new: Part | None) -> None:
        """Update the digest for a part that is stored elsewhere."""
        for part in (old, new):
            if part is not None:
                self.digest ^= part_digest(part)

    @singledispatchmethod
    def _remove(self, known: RevisedPart) -> None:
        raise NotImplementedError(type(known).__name__)

    @_remove.register
    def _(self, known: DataCentre) -> None:
        del self.data_centres[known.data_centre]

    @_remove.register
    def _(self, known: RemovedDataCentre) -> None:
        del self.removed_data_centres[known.data_centre]

    @_remove.register
    def _(self, known: Service) -> None:
        del self.services[known.service]

    @_remove.register
    def _(self, known: RemovedService) -> None:
        del self.removed_services[known.service]

    @_remove.register
    def _(self, known: Server) -> None:
        self.server_index.remove(known)

    @singledispatchmethod
    def _insert(self, requested: RevisedPart) -> None:
        raise NotImplementedError(type(requested).__name__)

    @_insert.register
    def _(self, requested: DataCentre) -> None:
        self.data_centres[requested.data_centre] = requested

    @_insert.register
    def _(self, requested: RemovedDataCentre) -> None:
        self.removed_data_centres[requested.data_centre] = requested

    @_insert.register
    def _(self, requested: Service) -> None:
        self.services[requested.service] = requested

    @_insert.register
    def _(self, requested: RemovedService) -> None:
        self.removed_services[requested.service] = requested

    @_insert.register
    def _(self, requested: Server) -> None:
        self.servers[requested.server] = requested
        self.server_index.add(requested)
