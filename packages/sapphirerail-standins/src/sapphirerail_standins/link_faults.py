"""Fault rules of a link: loss, duplication, delay and partition."""

import random
from enum import Enum
from fnmatch import fnmatchcase

import msgspec

__all__ = ["Direction", "FaultRule", "FaultRules", "LinkFaults"]


class Direction(Enum):
    """Direction through a relay, relative to the side that sends to it first."""

    FORWARD = "forward"
    BACK = "back"
    BOTH = "both"


class LinkFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Faults that a link injects.

    Parameters
    ----------
    loss_share, duplicate_share : float
        Shares of datagrams that are dropped and duplicated.
    delay_ms, jitter_ms : float
        Delay of each datagram, and the maximum of a random delay on top of it, which
        reorders datagrams.
    cut : bool
        Whether everything is dropped.
    bytes_per_s : float
        Bandwidth that the streams of a relay share in one direction; 0 for no limit.
        Datagrams are not limited.
    """

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    cut: bool = False
    bytes_per_s: float = 0.0


class FaultRule(msgspec.Struct, frozen=True, kw_only=True):
    """Faults for the relays and senders that match.

    Parameters
    ----------
    relay, sender : str
        Glob patterns for the name of a relay and for ``address:port`` of the side
        that sends to it first.
    direction : Direction
        Direction that the faults apply to.
    faults : LinkFaults
        Faults to inject.
    """

    relay: str = "*"
    sender: str = "*"
    direction: Direction = Direction.BOTH
    faults: LinkFaults = LinkFaults()


class FaultRules:
    """A list of fault rules; the last rule that matches applies.

    Parameters
    ----------
    seed : int
        Seed of the random faults. Each relay and direction draws from a sequence of
        its own.

    Examples
    --------
    >>> rules = FaultRules(seed=1)
    >>> rules.delays_ms("a", "127.0.0.1:1", Direction.FORWARD)
    [0.0]
    >>> rules.add(FaultRule(relay="a", faults=LinkFaults(cut=True)))
    >>> rules.delays_ms("a", "127.0.0.1:1", Direction.FORWARD)
    []
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._rules: list[FaultRule] = []
        self._randoms: dict[tuple[str, Direction], random.Random] = {}

    def add(self, rule: FaultRule) -> None:
        """Add a rule that takes precedence over all earlier ones."""
        self._rules.append(rule)

    def clear(self) -> None:
        """Remove all rules."""
        self._rules.clear()

    def faults(self, relay: str, sender: str, direction: Direction) -> LinkFaults:
        """Return the faults that apply to a relay, sender and direction."""
        for rule in reversed(self._rules):
            if not fnmatchcase(relay, rule.relay):
                continue
            if not fnmatchcase(sender, rule.sender):
                continue
            if rule.direction in (Direction.BOTH, direction):
                return rule.faults
        return LinkFaults()

    def delays_ms(self, relay: str, sender: str, direction: Direction) -> list[float]:
        """Draw the delay of each copy of a datagram; empty if it is dropped."""
        faults = self.faults(relay, sender, direction)
        rng = self._random_for(relay, direction)
        if faults.cut or rng.random() < faults.loss_share:
            return []
        n_copies = 2 if rng.random() < faults.duplicate_share else 1
        return [
            faults.delay_ms + rng.random() * faults.jitter_ms for _ in range(n_copies)
        ]

    def _random_for(self, relay: str, direction: Direction) -> random.Random:
        key = relay, direction
        if key not in self._randoms:
            text = f"{self._seed}:{relay}:{direction.value}"
            self._randoms[key] = random.Random(text)
        return self._randoms[key]
