"""Claims on their way to those who keep them after a change of the membership."""

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .context import Context
from .keeper import ClaimKeeper
from .messages import ClaimEntry, ClaimHandover

__all__ = ["ClaimTransfer", "claim_handovers"]

_N_ENTRIES_PER_MESSAGE = 40
_N_ENTRIES_PER_TICK = 1_000


def claim_handovers(context: Context, entries: list[ClaimEntry]) -> list[Effect]:
    """Return the messages that hand claims to those who are next in line.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    entries : list of ClaimEntry
        What the leaving keeper remembers.

    Returns
    -------
    list of Effect
        Messages of bounded size to the remaining keepers of this data centre.
    """
    by_keeper: dict[InstanceId, list[ClaimEntry]] = {}
    for entry in entries:
        # One more than grant: the leaving keeper itself is still counted.
        for name in _keepers(context, entry, context.config.n_keepers + 1):
            if name != context.fleet.self_id:
                by_keeper.setdefault(name, []).append(entry)
    return _messages(by_keeper)


class ClaimTransfer:
    """Tells newcomers the claims that they are keepers of from now on.

    Claims that others make without knowing the newcomer yet are told a second time,
    by which the loss of a message is made up for as well.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    keeper : ClaimKeeper
        What this instance remembers.
    """

    def __init__(self, context: Context, keeper: ClaimKeeper) -> None:
        self._context = context
        self._keeper = keeper
        self._due_ms: dict[InstanceId, list[int]] = {}
        self._targets: set[InstanceId] = set()
        self._entries: list[ClaimEntry] = []

    def on_joined(self, instance: InstanceId, now_ms: int) -> None:
        """Take in that an instance is alive."""
        fleet = self._context.fleet
        if instance == fleet.self_id:
            return
        if fleet.data_centre(instance) == fleet.self_data_centre:
            again_ms = now_ms + self._context.config.view_settle_ms // 2
            self._due_ms[instance] = [now_ms, again_ms]

    def on_lost(self, instance: InstanceId) -> None:
        """Take in that an instance is dead or has left."""
        self._due_ms.pop(instance, None)

    def tick(self, now_ms: int) -> list[Effect]:
        """Send what is due, a bounded number of claims at a time."""
        if not self._entries:
            self._targets = self._take_due(now_ms)
            if self._targets:
                self._entries = self._keeper.entries(now_ms)
        sent_now = self._entries[:_N_ENTRIES_PER_TICK]
        del self._entries[:_N_ENTRIES_PER_TICK]
        by_keeper: dict[InstanceId, list[ClaimEntry]] = {}
        n_keepers = self._context.config.n_keepers
        for entry in sent_now:
            keepers = _keepers(self._context, entry, n_keepers)
            for name in self._targets.intersection(keepers):
                by_keeper.setdefault(name, []).append(entry)
        return _messages(by_keeper)

    def _take_due(self, now_ms: int) -> set[InstanceId]:
        due = {name for name, at_ms in self._due_ms.items() if at_ms[0] <= now_ms}
        for name in due:
            self._due_ms[name].pop(0)
            if not self._due_ms[name]:
                del self._due_ms[name]
        return due


def _keepers(
    context: Context, entry: ClaimEntry, n_keepers: int
) -> tuple[InstanceId, ...]:
    fleet = context.fleet
    return fleet.owners(entry.key, n_keepers, fleet.self_data_centre)


def _messages(by_keeper: dict[InstanceId, list[ClaimEntry]]) -> list[Effect]:
    return [
        SendToPeer(name, ClaimHandover(tuple(kept[i : i + _N_ENTRIES_PER_MESSAGE])))
        for name, kept in by_keeper.items()
        for i in range(0, len(kept), _N_ENTRIES_PER_MESSAGE)
    ]
