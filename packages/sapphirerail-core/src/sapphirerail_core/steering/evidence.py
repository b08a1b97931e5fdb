"""Failure detection of servers, from flows, probes and peers' reports."""

from ..types import DataCentreId, InstanceId
from .directory import Directory, KnownServer
from .events import Belief, Event
from .server_state import Health

__all__ = ["Evidence"]


class Evidence:
    """Detects failures and recoveries of servers, and selects which ones to probe.

    Parameters
    ----------
    directory : Directory
        The servers.
    data_centre : DataCentreId
        Data centre of this instance.

    Attributes
    ----------
    has_news : bool
        Whether a confirmed failure was not yet reported to peers.
    """

    def __init__(self, directory: Directory, data_centre: DataCentreId) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._unresponsive: set[KnownServer] = set()
        self._events: list[Event] = []
        self.has_news = False

    def has_suspects(self) -> bool:
        """Return whether any server is suspected or failed."""
        return bool(self._unresponsive)

    def is_idle(self) -> bool:
        """Return whether there is nothing to probe, report or log."""
        return not (self._unresponsive or self._events or self.has_news)

    def take_events(self) -> list[Event]:
        """Return the state changes since the last call."""
        events, self._events = self._events, []
        return events

    def on_progress(self, server: KnownServer, since_ms: int, now_ms: int) -> None:
        """Record an answer to data sent at `since_ms`."""
        silence_ms = server.silence_ms(now_ms)
        if server.on_progress(since_ms, now_ms):
            self._record(Belief.SERVER_RECOVERED, server, silence_ms, now_ms)

    def on_silence(self, server: KnownServer, since_ms: int, now_ms: int) -> None:
        """Record that data sent at `since_ms` was not answered."""
        if server.on_silence(since_ms):
            self._unresponsive.add(server)
            silence_ms = server.silence_ms(now_ms)
            self._record(Belief.SERVER_SUSPECTED, server, silence_ms, now_ms)

    def on_peer_death(
        self, server: KnownServer, peer: InstanceId, silence_ms: int, now_ms: int
    ) -> None:
        """Record that a peer of the data centre reported a server as failed.

        This instance probes the server at once: the peer may itself be isolated.
        """
        if server.on_peer_death(peer, silence_ms, now_ms):
            detail: dict[str, object] = {"peer": peer, "silence_ms": silence_ms}
            name = server.entry.server
            self._events.append(Event(Belief.SERVER_DEAD_BY_PEER, name, detail))
            self.on_silence(server, now_ms - silence_ms, now_ms)

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
            server.is_probed = True
        return due

    def on_probe(self, server: KnownServer, is_reached: bool, now_ms: int) -> None:
        """Record whether a probe reached its server."""
        silence_ms = server.silence_ms(now_ms)
        health = server.on_probe(is_reached, now_ms)
        if health is Health.DEAD:
            self.has_news = True
            self._record(Belief.SERVER_DEAD, server, silence_ms, now_ms)
            self._suspect_data_centre(server, now_ms - silence_ms, now_ms)
        elif health is Health.ANSWERING:
            self._record(Belief.SERVER_RECOVERED, server, silence_ms, now_ms)

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
                self.on_silence(server, since_ms, now_ms)

    def _record(
        self, belief: Belief, server: KnownServer, silence_ms: int, now_ms: int
    ) -> None:
        detail: dict[str, object] = {
            "silence_ms": silence_ms,
            "progress_age_ms": now_ms - server.progress_at_ms,
            "n_flows": server.n_flows,
        }
        self._events.append(Event(belief, server.entry.server, detail))
