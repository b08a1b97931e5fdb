"""Short forms of messages between instances.

A short form is a smaller message that is sent on the wire in place of another one and
leaves out what the receiver knows.
"""

from functools import singledispatch

from ..effects import Message
from ..types import InstanceId
from .messages import Grant, Granted

__all__ = ["expanded", "shortened"]


@singledispatch
def shortened(message: Message, receiver: InstanceId) -> Message:
    """Return the shortest equivalent of a message for its receiver.

    Examples
    --------
    >>> shortened(Grant(7, epoch=1, holder="osu-1"), "osu-1")
    Granted(key=7, epoch=1)
    >>> shortened(Grant(7, epoch=1, holder="osu-2"), "osu-1")
    Grant(key=7, epoch=1, holder='osu-2')
    """
    return message


@shortened.register
def _(message: Grant, receiver: InstanceId) -> Message:
    if message.holder != receiver:
        return message
    return Granted(message.key, message.epoch)


@singledispatch
def expanded(message: Message, receiver: InstanceId) -> Message:
    """Return the full form of a received message, as the handlers expect it.

    Examples
    --------
    >>> expanded(Granted(7, epoch=1), "osu-1")
    Grant(key=7, epoch=1, holder='osu-1')
    """
    return message


@expanded.register
def _(message: Granted, receiver: InstanceId) -> Message:
    return Grant(message.key, message.epoch, receiver)
