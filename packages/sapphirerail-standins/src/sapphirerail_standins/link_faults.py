"""Decides what a faulty link does with each datagram."""

import random
from enum import Enum
from fnmatch import fnmatchcase

import msgspec

__all__ = ["Direction", "FaultRule", "FaultRules", "LinkFaults"]


class Direction(Enum):
    """Way through a relay, seen from whoever sends to it first."""

    FORWARD = "forward"
    BACK = "back"
    BOTH = "both"


class LinkFaults(msgspec.Struct, frozen=True, kw_only=True):
    """What goes wrong on a link.

    Parameters
    ----------
    loss_share, duplicate_share : float
        Share of datagrams that are lost, or arrive twice.
    delay_ms, jitter_ms : float
        Time that each is held up, and a further random time up to the second;
        datagrams overtake each other by it.
    cut : bool
        Whether nothing passes.
    """

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    cut: bool = False


class FaultRule(msgspec.Struct, frozen=True, kw_only=True):
    """Faults of the relays and the senders that match.

    Parameters
    ----------
    relay, sender : str
        Patterns of a relay's name and of ``address:port`` of its first sender.
    direction : Direction
        Way that the faults apply to.
    faults : LinkFaults
        What goes wrong.
    """

    relay: str = "*"
    sender: str = "*"
    direction: Direction = Direction.BOTH
    faults: LinkFaults = LinkFaults()


class FaultRules:
    """A list of rules, of which the last that matches applies.

    Parameters
    ----------
    seed : int
        Seed of the random faults; each relay draws from a sequence of its own.

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
        """Put a rule before all others."""
        self._rules.append(rule)

    def clear(self) -> None:
        """Forget all rules."""
        self._rules.clear()

    def faults(self, relay: str, sender: str, direction: Direction) -> LinkFaults:
        """Return the faults that apply."""
        for rule in reversed(self._rules):
            if not fnmatchcase(relay, rule.relay):
                continue
            if not fnmatchcase(sender, rule.sender):
                continue
            if rule.direction in (Direction.BOTH, direction):
                return rule.faults
        return LinkFaults()

    def delays_ms(self, relay: str, sender: str, direction: Direction) -> list[float]:
        """Return the delay of each copy of a datagram; empty if it is lost."""
        faults = self.faults(relay, sender, direction)
        draws = self._draws(relay, direction)
        if faults.cut or draws.random() < faults.loss_share:
            return []
        n_copies = 2 if draws.random() < faults.duplicate_share else 1
        return [
            faults.delay_ms + draws.random() * faults.jitter_ms for _ in range(n_copies)
        ]

    def _draws(self, relay: str, direction: Direction) -> random.Random:
        key = relay, direction
        if key not in self._randoms:
            text = f"{self._seed}:{relay}:{direction.value}"
            self._randoms[key] = random.Random(text)
        return self._randoms[key]
