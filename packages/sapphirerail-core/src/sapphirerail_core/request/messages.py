"""Messages between instances about requests and admission."""

from ..effects import Message

__all__ = ["MESSAGES"]

MESSAGES: tuple[type[Message], ...] = ()
