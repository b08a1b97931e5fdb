"""Detection of an instance that is partitioned from most of its servers."""

from collections import Counter
from collections.abc import Iterator

from ..types import DataCentreId, ServiceId
from .config import SteeringConfig
from .directory import Directory, KnownServer
from .events import Event, StateChange
from .peers import Peers
from .routes import RouteTable

__all__ = ["Isolation"]


class Isolation:
    """Detects when callers are better served through another data centre.

    An instance is isolated while it reaches neither the store nor any remote server,
    and the services without a reachable server have most of the slots. It should then
    leave the rotation, so that routers send its callers' packets to instances that can
    serve them. While the store or any remote server answers, the fault is attributed
    to the servers, and the instance stays.

    Parameters
    ----------
    config : SteeringConfig
        Intervals of the probes.
    directory : Directory
        The servers.
    routes : RouteTable
        Evacuated data centres.
    peers : Peers
        This instance, and its peers.
    """

    def __init__(
        self,
        config: SteeringConfig,
        directory: Directory,
        routes: RouteTable,
        peers: Peers,
    ) -> None:
        self._config = config
        self._directory = directory
        self._routes = routes
        self._peers = peers
        self._store_probed_at_ms = -config.store_probe_ms
        self._remote_probed_at_ms = -config.remote_probe_interval_ms
        self._is_store_probe_in_flight = False
        self._is_store_reachable = True
        self.is_isolated = False

    def needs_store_probe(self, now_ms: int) -> bool:
        """Return whether to probe the store now, and mark the probe as in flight."""
        if (
            self._is_store_probe_in_flight
            or now_ms - self._store_probed_at_ms < self._config.store_probe_ms
        ):
            return False
        if not (self.is_isolated or self._has_unreachable_data_centre(now_ms)):
            return False
        self._is_store_probe_in_flight = True
        return True

    def reset_store_probe(self) -> None:
        """Discard the last store probe's result, once all servers answer again."""
        self._is_store_reachable = True

    def on_store_probe(self, is_reached: bool, now_ms: int) -> None:
        """Record whether a probe reached the store."""
        self._is_store_probe_in_flight = False
        self._store_probed_at_ms = now_ms
        self._is_store_reachable = is_reached

    def check(self, now_ms: int) -> Event | None:
        """Check whether this instance is isolated.

        Returns
        -------
        Event or None
            The state change, if there is one.
        """
        is_isolated = not self._is_store_reachable and self._is_partitioned(now_ms)
        if is_isolated == self.is_isolated:
            return None
        self.is_isolated = is_isolated
        if not is_isolated:
            # The callers return now, so failed servers are probed soon.
            for server in self._directory.servers():
                server.expedite_probe()
        change = (
            StateChange.INSTANCE_ISOLATED
            if is_isolated
            else StateChange.INSTANCE_REJOINED
        )
        n_lost_slots, n_kept_slots = self._slots(now_ms)
        detail: dict[str, object] = {
            "store_reached": self._is_store_reachable,
            "lost_slots": n_lost_slots,
            "kept_slots": n_kept_slots,
        }
        return Event(change, self._peers.local.instance, detail)

    def take_remote_probes(self, now_ms: int) -> list[KnownServer]:
        """Return the remote servers to probe, as the path to all of them may be down.

        Otherwise the failure of a server with little traffic would be detected only by
        the next opening for its service.
        """
        is_due = (
            now_ms - self._remote_probed_at_ms >= self._config.remote_probe_interval_ms
        )
        if self._is_store_reachable or not is_due:
            return []
        if not self._has_unreachable_data_centre(now_ms):
            return []
        self._remote_probed_at_ms = now_ms
        return [
            server for server in self._remote_servers() if not server.is_failed(now_ms)
        ]

    def _remote_servers(self) -> Iterator[KnownServer]:
        local_data_centre = self._peers.local.data_centre
        for server in self._directory.servers():
            if server.entry.data_centre != local_data_centre:
                yield server

    def _has_unreachable_data_centre(self, now_ms: int) -> bool:
        """Return whether all servers of some remote data centre have failed."""
        all_failed: dict[DataCentreId, bool] = {}
        for server in self._remote_servers():
            name = server.entry.data_centre
            all_failed[name] = all_failed.get(name, True) and server.is_failed(now_ms)
        return any(all_failed.values())

    def _is_partitioned(self, now_ms: int) -> bool:
        """Return whether all remote servers have failed and most slots are lost."""
        if not all(server.is_failed(now_ms) for server in self._remote_servers()):
            return False
        n_lost_slots, n_kept_slots = self._slots(now_ms)
        return self._has_unreachable_data_centre(now_ms) and n_lost_slots > n_kept_slots

    def _slots(self, now_ms: int) -> tuple[int, int]:
        """Return the slots of services without, and of those with, a usable server."""
        slots: Counter[ServiceId] = Counter()
        served: set[ServiceId] = set()
        for server in self._directory.servers():
            entry = server.entry
            slots[entry.service] += entry.n_slots
            is_evacuated = self._routes.is_evacuated(entry.data_centre)
            if not (is_evacuated or entry.is_draining or server.is_failed(now_ms)):
                served.add(entry.service)
        n_kept_slots = sum(
            n_slots for service, n_slots in slots.items() if service in served
        )
        return slots.total() - n_kept_slots, n_kept_slots
