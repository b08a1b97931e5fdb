"""Failure detection of servers, from flows, probes and peers' reports."""

from ..types import DataCentreId, InstanceId
from .directory import Directory, KnownServer
from .events import Event, StateChange
from .server_state import Health

__all__ = ["ServerFailureDetector"]


class ServerFailureDetector:
    """Detects failures and recoveries of servers, and selects which ones to probe.

    Parameters
    ----------
    directory : Directory
        The servers.
    data_centre : DataCentreId
        Data centre of this instance.

    Attributes
    ----------
    has_unreported_failures : bool
        Whether a confirmed failure was not yet reported to peers.
    """

    def __init__(self, directory: Directory, data_centre: DataCentreId) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._unresponsive: set[KnownServer] = set()
        self._events: list[Event] = []
        self.has_unreported_failures = False

    def has_suspects(self) -> bool:
        """Return whether any server is suspected or failed."""
        return bool(self._unresponsive)

    def is_idle(self) -> bool:
        """Return whether there is nothing to probe, report or log."""
        return not (self._unresponsive or self._events or self.has_unreported_failures)

    def take_events(self) -> list[Event]:
        """Return the state changes since the last call."""
        events, self._events = self._events, []
        return events

    def on_progress(self, server: KnownServer, since_ms: int, now_ms: int) -> None:
        """Record an answer to data sent at `since_ms`."""
        unresponsive_ms = server.unresponsive_ms(now_ms)
        if server.on_progress(since_ms, now_ms):
            self._record(StateChange.SERVER_RECOVERED, server, unresponsive_ms, now_ms)

    def on_no_response(self, server: KnownServer, since_ms: int, now_ms: int) -> None:
        """Record that data sent at `since_ms` was not answered."""
        if server.on_no_response(since_ms):
            self._unresponsive.add(server)
            unresponsive_ms = server.unresponsive_ms(now_ms)
            self._record(StateChange.SERVER_SUSPECTED, server, unresponsive_ms, now_ms)

    def on_peer_failure_report(
        self, server: KnownServer, peer: InstanceId, unresponsive_ms: int, now_ms: int
    ) -> None:
        """Record that a peer of the data centre reported a server as failed.

        This instance probes the server at once: the peer may itself be isolated.
        """
        if server.on_peer_failure_report(peer, unresponsive_ms, now_ms):
            detail: dict[str, object] = {"peer": peer, "silence_ms": unresponsive_ms}
            name = server.entry.server
            self._events.append(
                Event(StateChange.SERVER_FAILURE_REPORTED, name, detail)
            )
            self.on_no_response(server, now_ms - unresponsive_ms, now_ms)

    def take_probes(self, now_ms: int) -> list[KnownServer]:
        """Return the servers to probe now, and mark their probes as in flight."""
        if not self._unresponsive:
            return []
        self._unresponsive = {
            server
            for server in self._unresponsive
            if server.health is not Health.ANSWERING and server.departed_at_ms is None
        }
        due = [server for server in self._unresponsive if server.needs_probe(now_ms)]
        for server in due:
            server.is_probe_in_flight = True
        return due

    def on_probe(self, server: KnownServer, is_reached: bool, now_ms: int) -> None:
        """Record whether a probe reached its server."""
        unresponsive_ms = server.unresponsive_ms(now_ms)
        health = server.on_probe(is_reached, now_ms)
        if health is Health.FAILED:
            self.has_unreported_failures = True
            self._record(StateChange.SERVER_FAILED, server, unresponsive_ms, now_ms)
            self._suspect_data_centre(server, now_ms - unresponsive_ms, now_ms)
        elif health is Health.ANSWERING:
            self._record(StateChange.SERVER_RECOVERED, server, unresponsive_ms, now_ms)

    def on_inconclusive_probe(self, server: KnownServer, now_ms: int) -> None:
        """Record a probe that says nothing about its server; it is repeated soon."""
        server.on_inconclusive_probe(now_ms)

    def _suspect_data_centre(
        self, failed: KnownServer, since_ms: int, now_ms: int
    ) -> None:
        """Suspect all servers of a failed server's remote data centre.

        The path to that data centre may be down; probing all servers at once is faster
        than waiting for a timeout on the flows of each.
        """
        data_centre = failed.entry.data_centre
        if data_centre == self._data_centre:
            return
        for server in self._directory.of_data_centre(data_centre):
            if server is not failed:
                self.on_no_response(server, since_ms, now_ms)

    def _record(
        self,
        change: StateChange,
        server: KnownServer,
        unresponsive_ms: int,
        now_ms: int,
    ) -> None:
        detail: dict[str, object] = {
            "silence_ms": unresponsive_ms,
            "progress_age_ms": now_ms - server.progress_at_ms,
            "n_flows": server.n_flows,
        }
        self._events.append(Event(change, server.entry.server, detail))
