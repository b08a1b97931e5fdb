"""Messages between instances about plans."""

from ..effects import Message

__all__ = ["MESSAGES"]

MESSAGES: tuple[type[Message], ...] = ()
