"""Messages sent on an instance's own initiative: heartbeats, updates and joins."""

from ..effects import Effect, SendToPeer
from ..types import InstanceId, InstanceState
from .member import Member
from .messages import Join, Left, Rumours
from .state import FleetState

__all__ = [
    "announce_leave",
    "disseminate",
    "heartbeats",
    "join_listed",
    "rejoin",
    "report_suspicion",
]

N_JOIN_TARGETS = 3


def heartbeats(fleet: FleetState, now_ms: int) -> list[Effect]:
    """Return a round of heartbeats."""
    fleet.sequence += 1
    fleet.lease.record_round(fleet.sequence, now_ms)
    return [
        SendToPeer(name, fleet.heartbeat(name, fleet.sequence, now_ms))
        for name in _round_targets(fleet)
    ]


def _round_targets(fleet: FleetState) -> list[InstanceId]:
    roster, config = fleet.roster, fleet.config
    targets: list[InstanceId | None] = list(roster.neighbours(fleet.self_id))
    local = roster.sample(fleet.random_state, fleet.data_centre, config.n_random)
    targets += [name for name in local if name not in targets]
    targets += [_next_remote(fleet) for _ in range(config.n_remote)]
    return [name for name in targets if name is not None]


def _next_remote(fleet: FleetState) -> InstanceId | None:
    """Return the next instance of the other data centres, in round-robin order."""
    others = [d for d in fleet.roster.data_centres() if d != fleet.data_centre]
    if not others:
        return None
    fleet.n_remote_sent += 1
    round_number, index = divmod(fleet.n_remote_sent, len(others))
    live = fleet.roster.live(others[index])
    return live[round_number % len(live)]


def report_suspicion(fleet: FleetState, member: Member, now_ms: int) -> list[Effect]:
    """Report an unresponsive member to its neighbours and to itself."""
    contact_ms = fleet.detector.last_contact_ms(member)
    fleet.roster.add_suspicion(member, fleet.self_id, contact_ms, now_ms)
    update = fleet.roster.current_update(member.instance, fleet.self_id, now_ms)
    if update is None:
        return []
    fleet.dissemination.add(update)
    targets = {member.instance, *fleet.roster.neighbours(member.instance)}
    targets.discard(fleet.self_id)
    return [SendToPeer(name, Rumours((update,))) for name in sorted(targets)]


def disseminate(fleet: FleetState, now_ms: int) -> list[Effect]:
    """Return messages with queued updates, the first one to a random data centre."""
    if not len(fleet.dissemination):
        return []
    effects: list[Effect] = []
    for n_sent in range(fleet.config.n_fanout):
        data_centre = fleet.data_centre
        if n_sent == 0:
            data_centre = fleet.random_state.choice(fleet.roster.data_centres())
        for name in fleet.roster.sample(fleet.random_state, data_centre, 1):
            updates = fleet.dissemination.next_updates(fleet.config.n_updates, now_ms)
            if updates:
                effects.append(SendToPeer(name, Rumours(updates)))
    return effects


def announce_leave(fleet: FleetState) -> list[Effect]:
    """Return notifications of a planned stop for neighbours and random members."""
    message = Rumours((Left(fleet.self_id, fleet.roster.own.incarnation),))
    targets = {*fleet.roster.neighbours(fleet.self_id)}
    for data_centre in fleet.roster.data_centres():
        n_wanted = fleet.config.n_fanout
        targets.update(fleet.roster.sample(fleet.random_state, data_centre, n_wanted))
    return [SendToPeer(name, message) for name in sorted(targets)]


def join_listed(fleet: FleetState) -> list[Effect]:
    """Send join requests to a few listed but unknown instances.

    Until this instance has joined, instances of its own data centre are asked first,
    including known ones: they may have joined this instance before it read the list.
    """
    unknown = sorted(n for n in fleet.listed if n not in fleet.roster.members)
    candidates = unknown
    if fleet.joined_ms is None:
        candidates = _local_candidates(fleet) or unknown
    chosen = fleet.random_state.sample(candidates, min(N_JOIN_TARGETS, len(candidates)))
    return [SendToPeer(name, Join(fleet.roster.own.record)) for name in chosen]


def _local_candidates(fleet: FleetState) -> list[InstanceId]:
    """Return the other instances of this data centre that are listed or live."""
    own = fleet.data_centre
    names = {n for n, entry in fleet.listed.items() if entry.data_centre == own}
    names.update(fleet.roster.live(own))
    names.discard(fleet.self_id)
    return sorted(names)


def rejoin(fleet: FleetState, now_ms: int) -> list[Effect]:
    """Try to contact listed or failed instances, a few at a time."""
    effects = join_listed(fleet)
    failed = sorted(
        name
        for name in fleet.roster.gone
        if fleet.roster.members[name].state is InstanceState.DEAD
    )
    if failed:
        name = fleet.random_state.choice(failed)
        heartbeat = fleet.heartbeat(name, fleet.sequence, now_ms)
        effects.append(SendToPeer(name, heartbeat))
    return effects
