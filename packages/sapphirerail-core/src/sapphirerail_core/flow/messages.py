"""Messages between instances about flows."""

from ..effects import Message

__all__ = ["MESSAGES"]

MESSAGES: tuple[type[Message], ...] = ()
