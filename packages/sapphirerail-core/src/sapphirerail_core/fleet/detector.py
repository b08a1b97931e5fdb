"""Failure detector: probes unresponsive neighbours before they are suspected."""

import random
from dataclasses import dataclass

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .config import FleetConfig
from .member import Member
from .messages import Ping, ProbeRequest
from .roster import Roster

__all__ = ["FailureDetector"]

N_PROBE_ROUNDS = 2


@dataclass(slots=True)
class _Neighbour:
    """Monitored neighbour; `n_rounds` probe rounds were sent since `probed_ms`."""

    since_ms: int
    probed_ms: int = 0
    n_rounds: int = 0


class FailureDetector:
    """Monitors the neighbours of this instance.

    Parameters
    ----------
    config : FleetConfig
        Timeouts of suspicion and probes.
    roster : Roster
        The members.
    random_state : random.Random
        Selects the helpers of indirect probes.
    """

    def __init__(
        self, config: FleetConfig, roster: Roster, random_state: random.Random
    ) -> None:
        self._config = config
        self._roster = roster
        self._random_state = random_state
        self._monitored: dict[InstanceId, _Neighbour] = {}
        self.unresponsive: list[Member] = []

    def monitored(self) -> tuple[InstanceId, ...]:
        """Return the monitored neighbours."""
        return tuple(self._monitored)

    def is_monitored(self, instance: InstanceId) -> bool:
        """Return whether an instance is monitored."""
        return instance in self._monitored

    def probing(self) -> list[InstanceId]:
        """Return the neighbours that are being probed, sorted."""
        return sorted(
            n for n, neighbour in self._monitored.items() if neighbour.n_rounds
        )

    def reset_timers(self, now_ms: int) -> None:
        """Restart the contact timeouts, after a pause of this process."""
        self._monitored = {name: _Neighbour(now_ms) for name in self._monitored}

    def tick(self, now_ms: int) -> list[Effect]:
        """Probe neighbours without contact; put timed-out ones into `unresponsive`."""
        self._update_monitored(now_ms)
        self.unresponsive = []
        effects: list[Effect] = []
        for name, neighbour in self._monitored.items():
            member = self._roster.members[name]
            if (
                self._no_contact_ms(member, neighbour, now_ms)
                <= self._config.suspect_after_ms
            ):
                neighbour.n_rounds = 0
                continue
            effects.extend(self._probe(member, neighbour, now_ms))
        return effects

    def last_contact_ms(self, member: Member) -> int:
        """Return the latest time at which this instance may have had contact."""
        return max(member.contact_ms, self._monitored[member.instance].since_ms)

    def _update_monitored(self, now_ms: int) -> None:
        names = self._roster.neighbours(self._roster.self_id)
        if len(names) == len(self._monitored) and all(
            n in self._monitored for n in names
        ):
            return
        old = self._monitored
        self._monitored = {name: old.get(name) or _Neighbour(now_ms) for name in names}

    def _no_contact_ms(self, member: Member, neighbour: _Neighbour, now_ms: int) -> int:
        return now_ms - max(member.contact_ms, member.known_ms, neighbour.since_ms)

    def _probe(
        self, member: Member, neighbour: _Neighbour, now_ms: int
    ) -> list[Effect]:
        if neighbour.n_rounds == 0:
            neighbour.probed_ms = now_ms
        waited_ms = now_ms - neighbour.probed_ms
        if waited_ms >= self._config.probe_ms:
            if self._roster.self_id not in member.suspected_by:
                self.unresponsive.append(member)
            return []
        if waited_ms < neighbour.n_rounds * self._config.probe_ms // N_PROBE_ROUNDS:
            return []
        neighbour.n_rounds += 1
        return self._send_probes(member)

    def _send_probes(self, member: Member) -> list[Effect]:
        effects: list[Effect] = [
            SendToPeer(member.instance, Ping(self._roster.self_id))
        ]
        request = ProbeRequest(member.instance)
        effects += [SendToPeer(name, request) for name in self._helpers(member)]
        return effects

    def _helpers(self, member: Member) -> list[InstanceId]:
        n_helpers = self._config.n_helpers
        local_data_centre = self._roster.own.data_centre
        local = self._roster.sample(
            self._random_state, local_data_centre, n_helpers + 1
        )
        helpers = [name for name in local if name != member.instance][:n_helpers]
        others = [d for d in self._roster.data_centres() if d != local_data_centre]
        if others and len(helpers) < n_helpers:
            data_centre = self._random_state.choice(others)
            n_missing = n_helpers - len(helpers)
            helpers += self._roster.sample(self._random_state, data_centre, n_missing)
        return helpers
