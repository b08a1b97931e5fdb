"""Messages between instances about plans."""

from ..effects import Message
from ..types import Revision

__all__ = ["MESSAGES", "UNKNOWN_AGE", "PlanNews"]

UNKNOWN_AGE = -1


class PlanNews(Message, frozen=True, array_like=True, tag=50):
    """Which plan the sender has; a receiver with a newer one answers with its own.

    Parameters
    ----------
    revision : Revision
        Revision of the sender's plan.
    digest : int
        Digest of its content.
    contact_age_ms : int
        Time since the store is known to have held this revision and no higher one;
        `UNKNOWN_AGE` if no such time is known.
    """

    revision: Revision
    digest: int
    contact_age_ms: int = UNKNOWN_AGE


MESSAGES: tuple[type[Message], ...] = (PlanNews,)
