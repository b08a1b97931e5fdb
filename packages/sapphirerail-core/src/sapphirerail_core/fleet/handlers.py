"""Handlers of the membership messages, one per message type."""

from functools import singledispatch

from msgspec import structs

from ..effects import Effect, Message, SendToPeer
from ..types import InstanceId
from .member import Member
from .messages import (
    Alive,
    Heartbeat,
    Join,
    MembersPage,
    Ping,
    Pong,
    ProbeAnswer,
    ProbeRequest,
    Rumours,
    SyncRequest,
    TieAnswer,
    TieRequest,
)
from .state import FleetState

__all__ = ["handle"]

NO_INSTANCE = InstanceId("")


@singledispatch
def handle(
    message: Message, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    """Handle a message from another instance.

    Parameters
    ----------
    message : Message
        One of `fleet.messages.MESSAGES`.
    fleet : FleetState
        State of the receiving instance.
    sender : InstanceId
        Instance that sent the message.
    now_ms : int
        Time of arrival.
    """
    raise TypeError(f"expected a membership message, got {message!r}")


@handle.register
def _(
    message: Heartbeat, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    fleet.take_rumours(message.rumours, now_ms)
    member = fleet.roster.get(sender)
    if member is None:
        return []
    if message.incarnation > member.incarnation:
        record = structs.replace(member.record, incarnation=message.incarnation)
        fleet.take_rumours((Alive(record),), now_ms)
    if member.gone or message.incarnation < member.incarnation:
        return [SendToPeer(sender, _member_updates(fleet, member, now_ms))]
    fleet.roster.heard(sender, message.incarnation, now_ms)
    member.revision = message.revision
    if fleet.is_local(sender):
        fleet.reach.take_ages(message.heard, now_ms)
    if message.echo:
        fleet.lease.on_echo(sender, message.echo)
    effects = fleet.sync.on_digest(sender, message.digest, now_ms)
    if not message.sequence:
        return effects
    fleet.echoes[sender] = message.sequence
    if not fleet.detector.watches(sender):
        effects.append(SendToPeer(sender, fleet.heartbeat(sender, 0, now_ms)))
    return effects


@handle.register
def _(
    message: Join, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    record = message.record
    fleet.take_rumours((Alive(record),), now_ms)
    known = fleet.roster.members[record.instance]
    if known.gone or known.incarnation > record.incarnation:
        return [SendToPeer(sender, _member_updates(fleet, known, now_ms))]
    request = SyncRequest(NO_INSTANCE, 0)
    return fleet.desk.ask(sender, request, now_ms)


@handle.register
def _(
    message: SyncRequest, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    return fleet.desk.ask(sender, message, now_ms)


@handle.register
def _(
    message: MembersPage, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    for rumour in message.rumours:
        if not fleet.refutes(rumour, now_ms):
            fleet.roster.apply(rumour, now_ms)
    request = fleet.sync.next_request(message)
    if request is None:
        fleet.note_joined(now_ms)
        return []
    if not fleet.is_local(message.after):
        fleet.note_joined(now_ms)
    effect = SendToPeer(sender, request)
    if fleet.joined_ms is None:
        return [effect]
    fleet.requests.append(effect)
    return []


@handle.register
def _(
    message: Ping, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    pong = Pong(message.origin, fleet.roster.own.incarnation)
    return [SendToPeer(sender, pong)]


@handle.register
def _(
    message: Pong, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    fleet.roster.heard(sender, message.incarnation, now_ms)
    return fleet.helper.on_pong(sender, message)


@handle.register
def _(
    message: ProbeRequest, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    return fleet.helper.on_request(sender, message.subject, now_ms)


@handle.register
def _(
    message: ProbeAnswer, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    if message.reached:
        fleet.roster.heard(message.subject, message.incarnation, now_ms)
    return []


@handle.register
def _(
    message: TieRequest, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    leased = not fleet.leaving and fleet.lease.holds(now_ms)
    return fleet.arbiter.on_request(sender, message, leased, now_ms)


@handle.register
def _(
    message: TieAnswer, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    fleet.votes.on_answer(sender, message)
    return []


@handle.register
def _(
    message: Rumours, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    fleet.take_rumours(message.rumours, now_ms)
    return []


def _member_updates(fleet: FleetState, member: Member, now_ms: int) -> Rumours:
    """Return the local state of a member, so that the member can refute it."""
    return Rumours(tuple(fleet.roster.rumours(member.instance, now_ms)))
