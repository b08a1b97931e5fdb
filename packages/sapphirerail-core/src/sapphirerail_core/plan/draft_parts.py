"""The parts of a plan that is being changed, and its digest."""

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
from .places import Places

__all__ = ["DraftParts", "Statement"]

Statement = DataCentre | Service | Server | RemovedDataCentre | RemovedService


class DraftParts:
    """Parts by id; each replacement is followed by the digest.

    Parameters
    ----------
    plan : Plan
        The plan to begin with.

    Attributes
    ----------
    data_centres, services, servers, removed_data_centres, removed_services
        As in `Plan`.
    places : Places
        Addresses and seats of the servers.
    digest : int
        Digest of all parts.
    """

    def __init__(self, plan: Plan) -> None:
        self.data_centres: dict[DataCentreId, DataCentre] = dict(plan.data_centres)
        self.services: dict[ServiceId, Service] = dict(plan.services)
        self.servers: dict[ServerId, Server] = dict(plan.servers)
        self.removed_data_centres = dict(plan.removed_data_centres)
        self.removed_services = dict(plan.removed_services)
        self.places = Places(plan.servers.values())
        self.digest = plan.digest

    def replace(self, known: Statement | None, wanted: Statement) -> None:
        """Put a part in the place of the one that is known of the same name."""
        if known is not None:
            self.digest ^= part_digest(known)
            self._take_out(known)
        self.digest ^= part_digest(wanted)
        self._put_in(wanted)

    def stamp(self, name: ServiceId, revision: Revision) -> None:
        """Let a service count as changed, if it is still there."""
        known = self.services.get(name)
        if known is not None:
            self.replace(known, msgspec.structs.replace(known, changed_at=revision))

    def exchange(self, old: Part | None, new: Part | None) -> None:
        """Follow with the digest what is kept elsewhere."""
        for part in (old, new):
            if part is not None:
                self.digest ^= part_digest(part)

    @singledispatchmethod
    def _take_out(self, known: Statement) -> None:
        raise NotImplementedError(type(known).__name__)

    @_take_out.register
    def _(self, known: DataCentre) -> None:
        del self.data_centres[known.data_centre]

    @_take_out.register
    def _(self, known: RemovedDataCentre) -> None:
        del self.removed_data_centres[known.data_centre]

    @_take_out.register
    def _(self, known: Service) -> None:
        del self.services[known.service]

    @_take_out.register
    def _(self, known: RemovedService) -> None:
        del self.removed_services[known.service]

    @_take_out.register
    def _(self, known: Server) -> None:
        self.places.remove(known)

    @singledispatchmethod
    def _put_in(self, wanted: Statement) -> None:
        raise NotImplementedError(type(wanted).__name__)

    @_put_in.register
    def _(self, wanted: DataCentre) -> None:
        self.data_centres[wanted.data_centre] = wanted

    @_put_in.register
    def _(self, wanted: RemovedDataCentre) -> None:
        self.removed_data_centres[wanted.data_centre] = wanted

    @_put_in.register
    def _(self, wanted: Service) -> None:
        self.services[wanted.service] = wanted

    @_put_in.register
    def _(self, wanted: RemovedService) -> None:
        self.removed_services[wanted.service] = wanted

    @_put_in.register
    def _(self, wanted: Server) -> None:
        self.servers[wanted.server] = wanted
        self.places.add(wanted)
