"""Where new flows go."""

import random
from collections.abc import Iterable, Iterator, Sequence

from ..rendezvous import hash_key
from ..types import DataCentreId, ServerId, ServiceId
from .cold import ColdBudget
from .config import SteeringConfig
from .directory import Directory, KnownServer
from .peers import Peers
from .routes import RouteTable

__all__ = ["Choice"]

# Breaks ties at random and keeps instances with the same reports from moving together.
_NOISE = 0.1


class Choice:
    """Picks the server of a new flow.

    The better of two random servers of the own data centre competes with the better of
    two elsewhere, which needs to be ahead by the remote penalty. The least occupied of
    all would be the same one for all instances between two reports of their loads.
    Servers that are silent are avoided while others answer. A cold server gets flows
    from one instance only, within its budget.

    Parameters
    ----------
    config : SteeringConfig
        Penalties and budgets.
    directory : Directory
        The servers.
    routes : RouteTable
        Services and data centres that are out.
    peers : Peers
        The other instances.
    rng : random.Random
        Breaks ties.
    """

    def __init__(
        self,
        config: SteeringConfig,
        directory: Directory,
        routes: RouteTable,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._directory = directory
        self._routes = routes
        self._peers = peers
        self._rng = rng
        self._cold: dict[tuple[ServerId, int], ColdBudget] = {}

    def pick(
        self, service: ServiceId, tried: Sequence[KnownServer], now_ms: int
    ) -> KnownServer | None:
        """Return the server for an opening; None if none may get it now.

        Parameters
        ----------
        service : ServiceId
            What the caller asked for.
        tried : sequence of KnownServer
            Servers that did not answer this opening; chosen only if no other is left.
        now_ms : int
            Time of the opening.
        """
        usable = self.usable(service)
        alive = [server for server in usable if not server.is_dead(now_ms)]
        fresh = [server for server in alive if server not in tried]
        answering = [server for server in fresh if not server.is_avoided(now_ms)]
        for candidates in (answering, fresh, alive):
            found = self._best(candidates, now_ms)
            if found is not None:
                return found
        return None

    def usable(self, service: ServiceId) -> list[KnownServer]:
        """Return the servers of a service that may get flows, dead or cold or not."""
        return [
            server
            for server in self._directory.of_service(service)
            if not self._routes.is_out(server.entry.data_centre)
        ]

    def _best(
        self, candidates: Sequence[KnownServer], now_ms: int
    ) -> KnownServer | None:
        for server in self._in_order(candidates):
            if not server.is_cold(now_ms) or self._take_cold(server, now_ms):
                return server
        return None

    def _in_order(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        """Yield the drawn servers by their score, then the others by theirs."""
        own = self._peers.own.data_centre
        near = [s for s in candidates if s.entry.data_centre == own]
        far = [s for s in candidates if s.entry.data_centre != own]
        drawn = [self._draw(group) for group in (near, far) if group]
        yield from sorted(drawn, key=self._score)
        rest = [server for server in candidates if server not in drawn]
        yield from sorted(rest, key=self._score)

    def _draw(self, group: list[KnownServer]) -> KnownServer:
        """Return the better of two at random, by what is known for sure."""
        two = self._rng.sample(group, min(2, len(group)))
        share = self._config.stale_share
        return min(two, key=lambda server: server.occupancy(share))

    def _score(self, server: KnownServer) -> float:
        score = server.occupancy() + self._rng.random() * _NOISE
        if server.entry.data_centre != self._peers.own.data_centre:
            score += self._config.remote_penalty
        return score

    def _take_cold(self, server: KnownServer, now_ms: int) -> bool:
        entry = server.entry
        key = hash_key(entry.server)
        if not self._peers.is_sender(key, entry.data_centre, now_ms):
            return False
        budget_key = (entry.server, entry.started_at_ms)
        budget = self._cold.get(budget_key)
        if budget is None:
            service = self._routes.service(entry.service)
            n_cold_per_s = 0.0 if service is None else service.n_cold_per_s
            budget = ColdBudget(n_cold_per_s, self._config)
            self._cold[budget_key] = budget
        return budget.take(now_ms)

    def forget(self, known: Iterable[KnownServer]) -> None:
        """Drop the budgets of servers that are gone."""
        kept = {(s.entry.server, s.entry.started_at_ms) for s in known}
        for key in list(self._cold):
            if key not in kept:
                del self._cold[key]

    def hold_cold(self, data_centre: DataCentreId, now_ms: int) -> None:
        """Treat the servers of a returned data centre as cold for a while."""
        for server in self._directory.of_data_centre(data_centre):
            service = self._routes.service(server.entry.service)
            warm_up_ms = 0 if service is None else service.cold_ms
            wait_ms = max(warm_up_ms, self._config.return_cold_ms)
            server.forced_cold_until_ms = now_ms + wait_ms
