"""Messages that instances exchange about their plans."""

from ..effects import Message
from ..types import Revision

__all__ = ["MESSAGES", "UNKNOWN_AGE", "PlanNews"]

UNKNOWN_AGE = -1


class PlanNews(Message, frozen=True, array_like=True, tag=50):
    """Announces the sender's plan; a receiver with a newer one replies with its own.

    Parameters
    ----------
    revision : Revision
        Revision of the sender's plan.
    digest : int
        Digest of its content.
    contact_age_ms : int
        Time since the store was last known to hold this revision and no higher one,
        or `UNKNOWN_AGE`.
    """

    revision: Revision
    digest: int
    contact_age_ms: int = UNKNOWN_AGE


MESSAGES: tuple[type[Message], ...] = (PlanNews,)
