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
    fleet.apply_updates(message.updates, now_ms)
    member = fleet.roster.get(sender)
    if member is None:
        return []
    if message.incarnation > member.incarnation:
        record = structs.replace(member.record, incarnation=message.incarnation)
        fleet.apply_updates((Alive(record),), now_ms)
    if member.gone or message.incarnation < member.incarnation:
        return [SendToPeer(sender, _member_updates(fleet, member, now_ms))]
    fleet.roster.record_contact(sender, message.incarnation, now_ms)
    member.revision = message.revision
    if fleet.is_local(sender):
        fleet.reachability.merge_contact_ages(message.contact_ages_ms, now_ms)
    if message.echo:
        fleet.lease.on_echo(sender, message.echo)
    effects = fleet.sync.on_digest(sender, message.digest, now_ms)
    if not message.sequence:
        return effects
    fleet.echoes[sender] = message.sequence
    if not fleet.detector.is_monitored(sender):
        effects.append(SendToPeer(sender, fleet.heartbeat(sender, 0, now_ms)))
    return effects


@handle.register
def _(
    message: Join, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    record = message.record
    fleet.apply_updates((Alive(record),), now_ms)
    known = fleet.roster.members[record.instance]
    if known.gone or known.incarnation > record.incarnation:
        return [SendToPeer(sender, _member_updates(fleet, known, now_ms))]
    request = SyncRequest(NO_INSTANCE, 0)
    return fleet.page_queue.request(sender, request, now_ms)


@handle.register
def _(
    message: SyncRequest, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    return fleet.page_queue.request(sender, message, now_ms)


@handle.register
def _(
    message: MembersPage, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    for update in message.updates:
        if not fleet.refute_if_wrong(update, now_ms):
            fleet.roster.apply(update, now_ms)
    request = fleet.sync.next_request(message)
    if request is None:
        fleet.record_joined(now_ms)
        return []
    if not fleet.is_local(message.after):
        fleet.record_joined(now_ms)
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
    fleet.roster.record_contact(sender, message.incarnation, now_ms)
    return fleet.probe_helper.on_pong(sender, message)


@handle.register
def _(
    message: ProbeRequest, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    return fleet.probe_helper.on_request(sender, message.subject, now_ms)


@handle.register
def _(
    message: ProbeAnswer, fleet: FleetState, sender: InstanceId, now_ms: int
) -> list[Effect]:
    if message.reached:
        fleet.roster.record_contact(message.subject, message.incarnation, now_ms)
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
    fleet.apply_updates(message.updates, now_ms)
    return []


def _member_updates(fleet: FleetState, member: Member, now_ms: int) -> Rumours:
    """Return the local state of a member, so that the member can refute it."""
    return Rumours(tuple(fleet.roster.current_updates(member.instance, now_ms)))
