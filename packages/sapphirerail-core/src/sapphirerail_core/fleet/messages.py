"""Messages between instances about membership."""

from ..effects import Message

__all__ = ["MESSAGES"]

MESSAGES: tuple[type[Message], ...] = ()
