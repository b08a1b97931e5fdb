"""Operators' state in force; older revisions never replace newer ones."""

import random

import msgspec

from ..types import DataCentreId, Revision, ServiceId
from .events import Event, StateChange
from .model import Configuration, OperatorState, Route, ServiceEntry
from .packet import ServiceAddress

__all__ = ["RouteTable"]


class RouteTable:
    """Routes, services and evacuated data centres at the newest known revision.

    Attributes
    ----------
    removed : set of ServiceAddress
        Addresses whose route was removed by a newer configuration.
    """

    def __init__(self) -> None:
        self.state = OperatorState(0, 0, None, ())
        self._routes: dict[ServiceAddress, Route] = {}
        self.removed: set[ServiceAddress] = set()
        self._services: dict[ServiceId, ServiceEntry] = {}
        self.evacuated_since_ms: dict[DataCentreId, int] = {}
        self._evacuation_revision = 0

    @property
    def revision(self) -> Revision:
        """Revision of the configuration in force; 0 before the first."""
        configuration = self.state.configuration
        return Revision(0) if configuration is None else configuration.revision

    def route(self, destination: ServiceAddress) -> Route | None:
        """Return the route of an address, or None."""
        return self._routes.get(destination)

    def service(self, service: ServiceId) -> ServiceEntry | None:
        """Return a service, or None if the configuration does not define it."""
        return self._services.get(service)

    def has_service(self, service: ServiceId) -> bool:
        """Return whether the configuration defines a service."""
        return service in self._services

    def is_evacuated(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self.evacuated_since_ms

    def apply(self, state: OperatorState, now_ms: int) -> list[Event]:
        """Apply a read of the operators' state; ignores an older one."""
        if state.store_revision < self.state.store_revision:
            return []
        events: list[Event] = []
        configuration = state.configuration
        current = self.state.configuration
        if configuration is None or (
            current is not None and configuration.revision < current.revision
        ):
            if current is not None:
                events.append(_stale_event(configuration, current))
            configuration = current
        elif current is None or configuration.revision > current.revision:
            events.append(self._replace_configuration(configuration))
        self.state = OperatorState(
            state.store_revision,
            max(state.change_revision, self.state.change_revision),
            configuration,
            self.state.evacuated,
        )
        return events + self.apply_evacuations(
            state.evacuated, state.store_revision, now_ms
        )

    def apply_evacuations(
        self, evacuated: tuple[DataCentreId, ...], store_revision: int, now_ms: int
    ) -> list[Event]:
        """Apply the list of all evacuated data centres; ignores an older one.

        The list is in force even if the configuration of that revision is not known
        yet. So this does not change the revision up to which the state is complete.

        Parameters
        ----------
        evacuated : tuple of DataCentreId
            All evacuated data centres.
        store_revision : int
            Store revision of the list.
        now_ms : int
            Current time.

        Returns
        -------
        list of Event
            The detected changes.
        """
        if store_revision < self._evacuation_revision:
            return []
        self._evacuation_revision = store_revision
        events = self._replace_evacuations(evacuated, now_ms)
        self.state = msgspec.structs.replace(
            self.state, evacuated=tuple(self.evacuated_since_ms)
        )
        return events

    def _replace_configuration(self, configuration: Configuration) -> Event:
        routes = {route.destination: route for route in configuration.routes}
        # Changed in place, as the engine keeps a reference to the set.
        self.removed.update(self._routes)
        self.removed.difference_update(routes)
        self._routes = routes
        self._services = {entry.service: entry for entry in configuration.services}
        detail: dict[str, object] = {
            "n_routes": len(routes),
            "n_services": len(self._services),
            "n_removed": len(self.removed),
        }
        return Event(
            StateChange.CONFIGURATION_APPLIED, str(configuration.revision), detail
        )

    def _replace_evacuations(
        self, evacuated: tuple[DataCentreId, ...], now_ms: int
    ) -> list[Event]:
        events = []
        for data_centre in evacuated:
            if data_centre not in self.evacuated_since_ms:
                self.evacuated_since_ms[data_centre] = now_ms
                events.append(Event(StateChange.DATA_CENTRE_OUT, data_centre, {}))
        for data_centre in list(self.evacuated_since_ms):
            if data_centre not in evacuated:
                out_ms = now_ms - self.evacuated_since_ms.pop(data_centre)
                detail: dict[str, object] = {"out_ms": out_ms}
                events.append(Event(StateChange.DATA_CENTRE_BACK, data_centre, detail))
        return events


def pick_service(route: Route, rng: random.Random) -> ServiceId:
    """Return one of a route's services, at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


def _stale_event(configuration: Configuration | None, current: Configuration) -> Event:
    offered = None if configuration is None else configuration.revision
    return Event(
        StateChange.CONFIGURATION_STALE, str(current.revision), {"offered": offered}
    )
