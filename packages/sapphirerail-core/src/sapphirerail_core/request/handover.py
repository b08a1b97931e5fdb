"""Transfer of claims to new replicas after a membership change."""

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .claim_replica import ClaimReplica
from .context import Context
from .messages import ClaimEntry, ClaimHandover

__all__ = ["ClaimTransfer", "claim_handovers"]

_N_ENTRIES_PER_MESSAGE = 40
_N_ENTRIES_PER_TICK = 1_000


def claim_handovers(context: Context, entries: list[ClaimEntry]) -> list[Effect]:
    """Return the messages that hand claims to the next replicas in rank.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    entries : list of ClaimEntry
        Claims that the leaving replica stores.

    Returns
    -------
    list of Effect
        Messages of bounded size to the remaining replicas in this data centre.
    """
    by_replica: dict[InstanceId, list[ClaimEntry]] = {}
    for entry in entries:
        # One more than decide on a claim, as this instance still counts as one.
        for name in _replicas(context, entry, context.config.n_claim_replicas + 1):
            if name != context.fleet.self_id:
                by_replica.setdefault(name, []).append(entry)
    return _messages(by_replica)


class ClaimTransfer:
    """Sends claims to newly joined instances that become replicas of them.

    The claims are sent twice: the second transfer includes those granted by replicas
    that did not know the new instance yet, and makes up for lost messages.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    replica : ClaimReplica
        Claims that this instance stores.
    """

    def __init__(self, context: Context, replica: ClaimReplica) -> None:
        self._context = context
        self._claim_replica = replica
        self._due_at_ms: dict[InstanceId, list[int]] = {}
        self._targets: set[InstanceId] = set()
        self._entries: list[ClaimEntry] = []

    def on_joined(self, instance: InstanceId, now_ms: int) -> None:
        """Schedule the transfers to an instance that is alive."""
        fleet = self._context.fleet
        if instance == fleet.self_id:
            return
        if fleet.data_centre(instance) == fleet.self_data_centre:
            second_at_ms = now_ms + self._context.config.view_settle_ms // 2
            self._due_at_ms[instance] = [now_ms, second_at_ms]

    def on_departed(self, instance: InstanceId) -> None:
        """Cancel the transfers to an instance that failed or left."""
        self._due_at_ms.pop(instance, None)

    def tick(self, now_ms: int) -> list[Effect]:
        """Send due transfers, a bounded number of claims at a time."""
        if not self._entries:
            self._targets = self._pop_due(now_ms)
            if self._targets:
                self._entries = self._claim_replica.entries(now_ms)
        sent_now = self._entries[:_N_ENTRIES_PER_TICK]
        del self._entries[:_N_ENTRIES_PER_TICK]
        by_replica: dict[InstanceId, list[ClaimEntry]] = {}
        n_replicas = self._context.config.n_claim_replicas
        for entry in sent_now:
            replicas = _replicas(self._context, entry, n_replicas)
            for name in self._targets.intersection(replicas):
                by_replica.setdefault(name, []).append(entry)
        return _messages(by_replica)

    def _pop_due(self, now_ms: int) -> set[InstanceId]:
        due = {name for name, at_ms in self._due_at_ms.items() if at_ms[0] <= now_ms}
        for name in due:
            self._due_at_ms[name].pop(0)
            if not self._due_at_ms[name]:
                del self._due_at_ms[name]
        return due


def _replicas(
    context: Context, entry: ClaimEntry, n_replicas: int
) -> tuple[InstanceId, ...]:
    fleet = context.fleet
    return fleet.owners(entry.key, n_replicas, fleet.self_data_centre)


def _messages(by_replica: dict[InstanceId, list[ClaimEntry]]) -> list[Effect]:
    return [
        SendToPeer(name, ClaimHandover(tuple(entries[i : i + _N_ENTRIES_PER_MESSAGE])))
        for name, entries in by_replica.items()
        for i in range(0, len(entries), _N_ENTRIES_PER_MESSAGE)
    ]
