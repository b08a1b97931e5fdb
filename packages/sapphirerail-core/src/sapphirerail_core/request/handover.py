"""Claims of a leaving keeper on their way to the next ones."""

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .context import Context
from .messages import ClaimEntry, ClaimHandover

__all__ = ["claim_handovers"]

_N_ENTRIES_PER_MESSAGE = 40


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
    fleet = context.fleet
    n_keepers = context.config.n_keepers + 1
    for entry in entries:
        for name in fleet.owners(entry.key, n_keepers, fleet.self_data_centre):
            if name != fleet.self_id:
                by_keeper.setdefault(name, []).append(entry)
    return [
        SendToPeer(name, ClaimHandover(tuple(kept[i : i + _N_ENTRIES_PER_MESSAGE])))
        for name, kept in by_keeper.items()
        for i in range(0, len(kept), _N_ENTRIES_PER_MESSAGE)
    ]
