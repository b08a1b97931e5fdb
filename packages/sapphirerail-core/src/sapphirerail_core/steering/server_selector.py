"""Selection of a backend server for each new flow."""

import random
from collections.abc import Iterable, Iterator, Sequence

from ..rendezvous import hash_key
from ..types import DataCentreId, ServerId, ServiceId
from .cold_budget import ColdBudget
from .config import SteeringConfig
from .directory import Directory, KnownServer
from .peers import Peers
from .routes import RouteTable

__all__ = ["ServerSelector"]

# Random part of a score: breaks ties, and keeps instances with the same load reports
# from selecting the same server.
_SCORE_NOISE = 0.1


class ServerSelector:
    """Selects the server of a new flow by power of two choices.

    The less occupied of two random servers of the local data centre is compared with
    the less occupied of two remote ones, whose score is raised by the remote penalty.
    Selecting the least occupied of all would send every instance to the same server
    between two load reports. Unresponsive servers are avoided while others answer. A
    cold server gets flows from one instance only, within its budget.

    Parameters
    ----------
    config : SteeringConfig
        Penalties and cold-start budgets.
    directory : Directory
        The servers.
    routes : RouteTable
        Services and evacuated data centres.
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
        self._cold_budgets: dict[tuple[ServerId, int], ColdBudget] = {}

    def pick(
        self, service: ServiceId, tried: Sequence[KnownServer], now_ms: int
    ) -> KnownServer | None:
        """Return the server for an opening, or None if no server may get it now.

        Parameters
        ----------
        service : ServiceId
            Service that the caller requested.
        tried : sequence of KnownServer
            Servers that did not answer this opening; selected only as a last resort.
        now_ms : int
            Current time.
        """
        eligible = self.eligible_servers(service)
        live = [server for server in eligible if not server.is_failed(now_ms)]
        untried = [server for server in live if server not in tried]
        answering = [server for server in untried if not server.is_avoided(now_ms)]
        for candidates in (answering, untried, live):
            selected = self._best(candidates, now_ms)
            if selected is not None:
                return selected
        return None

    def eligible_servers(self, service: ServiceId) -> list[KnownServer]:
        """Return a service's servers outside evacuated data centres, in any health."""
        return [
            server
            for server in self._directory.of_service(service)
            if not self._routes.is_evacuated(server.entry.data_centre)
        ]

    def _best(
        self, candidates: Sequence[KnownServer], now_ms: int
    ) -> KnownServer | None:
        for server in self._ranked(candidates):
            if not server.is_cold(now_ms) or self._try_cold(server, now_ms):
                return server
        return None

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        """Yield the sampled servers by score, then the others by score."""
        local_data_centre = self._peers.local.data_centre
        local = [s for s in candidates if s.entry.data_centre == local_data_centre]
        remote = [s for s in candidates if s.entry.data_centre != local_data_centre]
        sampled = [self._better_of_two(group) for group in (local, remote) if group]
        yield from sorted(sampled, key=self._score)
        rest = [server for server in candidates if server not in sampled]
        yield from sorted(rest, key=self._score)

    def _better_of_two(self, group: list[KnownServer]) -> KnownServer:
        """Return the less occupied of two random servers; discounts peers' reports."""
        pair = self._rng.sample(group, min(2, len(group)))
        share = self._config.peer_load_weight
        return min(pair, key=lambda server: server.occupancy(share))

    def _score(self, server: KnownServer) -> float:
        score = server.occupancy() + self._rng.random() * _SCORE_NOISE
        if server.entry.data_centre != self._peers.local.data_centre:
            score += self._config.remote_penalty
        return score

    def _try_cold(self, server: KnownServer, now_ms: int) -> bool:
        entry = server.entry
        key = hash_key(entry.server)
        if not self._peers.is_sender(key, entry.data_centre, now_ms):
            return False
        budget_key = (entry.server, entry.started_at_ms)
        budget = self._cold_budgets.get(budget_key)
        if budget is None:
            service = self._routes.service(entry.service)
            n_cold_per_s = 0.0 if service is None else service.n_cold_per_s
            budget = ColdBudget(n_cold_per_s, self._config)
            self._cold_budgets[budget_key] = budget
        return budget.try_consume(now_ms)

    def discard_budgets(self, known: Iterable[KnownServer]) -> None:
        """Discard the budgets of servers that are not in `known`."""
        kept = {(s.entry.server, s.entry.started_at_ms) for s in known}
        for key in list(self._cold_budgets):
            if key not in kept:
                del self._cold_budgets[key]

    def treat_as_cold(self, data_centre: DataCentreId, now_ms: int) -> None:
        """Treat the servers of a returned data centre as cold while they warm up."""
        for server in self._directory.of_data_centre(data_centre):
            service = self._routes.service(server.entry.service)
            warm_up_ms = 0 if service is None else service.cold_ms
            wait_ms = max(warm_up_ms, self._config.return_cold_ms)
            server.forced_cold_until_ms = now_ms + wait_ms
