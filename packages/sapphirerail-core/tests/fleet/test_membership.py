import random

import pytest

from sapphirerail_core.effects import SendToPeer
from sapphirerail_core.fleet import FleetConfig, ListedInstance, Membership
from sapphirerail_core.fleet.messages import Left, Rumours, Suspected
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import InstanceState
from sapphirerail_standins.virtual_fleet import VirtualFleet

SIZES = {"osu": 5, "madina": 5, "tema": 5, "kaneshie": 4}


def _is_complete(fleet):
    """Return whether all instances know each other and hold their leases."""
    n_instances = len(fleet.members)
    return all(
        len(member.live()) == n_instances and member.holds_lease(fleet.now_ms)
        for member in fleet.members.values()
    )


@pytest.fixture
def fleet():
    fleet = VirtualFleet(SIZES, seed=11)
    fleet.run_until(lambda: _is_complete(fleet), 6000)
    return fleet


def _detected_states(fleet, instance):
    return {member.state(instance) for member in fleet.members.values()}


def test_all_join_and_hold_leases(fleet):
    assert _is_complete(fleet)


def test_failure_is_detected_by_all_instances(fleet):
    fleet.kill("osu-1")
    fleet.run_until(
        lambda: _detected_states(fleet, "osu-1") == {InstanceState.DEAD}, 2500
    )


def test_planned_stop_is_not_a_failure(fleet):
    fleet.leave("osu-1")
    fleet.run_until(
        lambda: _detected_states(fleet, "osu-1") == {InstanceState.LEFT}, 1000
    )
    assert fleet.members["osu-0"].role_valid_from_ms("osu-1") <= fleet.now_ms


def test_restart_under_the_same_name_is_alive_again(fleet):
    fleet.kill("osu-1")
    fleet.run(200)
    fleet.start("osu-1", "osu")
    fleet.run_until(lambda: _is_complete(fleet), 6000)
    assert _detected_states(fleet, "osu-1") == {InstanceState.ALIVE}


def test_roles_of_a_failed_instance_wait_for_its_lease(fleet):
    fleet.kill("osu-1")
    killed_ms = fleet.now_ms
    fleet.run_until(
        lambda: _detected_states(fleet, "osu-1") == {InstanceState.DEAD}, 2500
    )
    config = fleet.config
    for name in fleet.of("osu"):
        valid_from_ms = fleet.members[name].role_valid_from_ms("osu-1")
        assert valid_from_ms >= killed_ms - config.heartbeat_ms + config.lease_ms


def test_partitioned_data_centre_keeps_serving_and_rejoins(fleet):
    tema = set(fleet.of("tema"))
    fleet.link.blocks = lambda sender, target: (sender in tema) != (target in tema)
    fleet.run_until(
        lambda: all(
            fleet.members[name].state("tema-0") is InstanceState.UNREACHABLE
            for name in fleet.of("osu")
        ),
        4000,
    )
    fleet.run(30_000)
    assert all(m.holds_lease(fleet.now_ms) for m in fleet.members.values())
    assert fleet.members["tema-0"].live("tema") == tuple(sorted(tema))
    assert fleet.members["osu-0"].owners(7, 2, "tema") == ()
    fleet.link.blocks = lambda sender, target: False
    fleet.run_until(lambda: _is_complete(fleet), 6000)


def _membership(name):
    return Membership.from_config(
        FleetConfig(), name, "osu", 1, random.Random(name), Journal(name), now_ms=0
    )


def test_first_instance_joins_if_another_joined_it_before_the_list():
    first, second = _membership("osu-a"), _membership("osu-b")
    entries = [ListedInstance(name, "osu", "", "") for name in ("osu-a", "osu-b")]
    for effect in second.on_listing(entries, 0):
        for answer in first.on_message("osu-b", effect.message, 0):
            second.on_message("osu-a", answer.message, 0)
    first.on_listing(entries, 0)
    members = {"osu-a": first, "osu-b": second}
    for now_ms in range(100, 6000, 100):
        queue = [(name, m) for name in members for m in members[name].tick(now_ms)]
        while queue:
            sender, effect = queue.pop()
            target = effect.instance
            answers = members[target].on_message(sender, effect.message, now_ms)
            queue += [(target, answer) for answer in answers]
    assert first.holds_lease(now_ms)
    assert second.holds_lease(now_ms)


def _partition(fleet, names):
    names = set(names)
    fleet.link.blocks = lambda sender, target: (sender in names) != (target in names)


def _holders(fleet, data_centre):
    return [n for n in fleet.of(data_centre) if _holds(fleet, n)]


def _holds(fleet, name):
    return fleet.members[name].holds_lease(fleet.now_ms)


@pytest.mark.parametrize("n_minority", [1, 2])
def test_minority_holds_no_lease_even_if_it_reaches_other_data_centres(
    fleet, n_minority
):
    kaneshie = fleet.of("kaneshie")
    _partition(fleet, kaneshie[n_minority:])
    fleet.run(6000)
    for _ in range(200):
        fleet.run(100)
        held = set(_holders(fleet, "kaneshie"))
        assert not (
            held & set(kaneshie[:n_minority]) and held & set(kaneshie[n_minority:])
        )


def test_half_of_a_data_centre_reacquires_its_leases(fleet):
    for name in fleet.of("kaneshie")[::2]:
        fleet.kill(name)
    left = fleet.of("kaneshie")
    fleet.run(4000)
    fleet.run_until(lambda: _holders(fleet, "kaneshie") == left, 4000)


@pytest.fixture(scope="module")
def partitioned_half():
    """Partition half of a data centre; record the leases of each step."""
    fleet = VirtualFleet({"osu": 32, "tema": 16}, seed=1, know_each_other=True)
    fleet.run(8000)
    osu = fleet.of("osu")
    isolated = set(random.Random(5).sample(osu, 16))
    _partition(fleet, isolated)
    steps, taken_over = [], []
    for _ in range(150):
        fleet.run(100)
        held = _holders(fleet, "osu")
        steps.append((held, {name for name in held if name in isolated}))
        taken_over += _roles_used_twice(fleet, held)
    return isolated, steps, taken_over


def _roles_used_twice(fleet, held):
    """Return lease holders whose roles another lease holder may use."""
    return [
        (taker, name)
        for taker in held
        for name in held
        if fleet.members[taker].state(name) is InstanceState.DEAD
        and fleet.members[taker].role_valid_from_ms(name) <= fleet.now_ms
    ]


def test_no_role_is_used_in_both_halves_of_a_partition(partitioned_half):
    _, _, taken_over = partitioned_half
    assert taken_over == []


def test_only_the_half_that_reaches_the_arbiters_reacquires_leases(partitioned_half):
    isolated, steps, _ = partitioned_half
    assert all(not held_by_isolated for _, held_by_isolated in steps[40:])
    held, _ = steps[-1]
    assert len(held) == 16
    assert not isolated & set(held)


def test_two_of_five_wait_for_the_list(fleet):
    fleet.deliver_listing()
    for name in fleet.of("osu")[:3]:
        fleet.kill(name)
    fleet.run(60_000)
    assert _holders(fleet, "osu") == []
    fleet.listing = [e for e in fleet.listing if e.instance in fleet.members]
    fleet.deliver_listing()
    fleet.run_until(lambda: _holders(fleet, "osu") == fleet.of("osu"), 4000)


def test_single_survivor_without_a_list_waits_for_the_timeout():
    fleet = VirtualFleet({"osu": 5}, seed=3, know_each_other=True)
    fleet.run(4000)
    for name in fleet.of("osu")[1:]:
        fleet.kill(name)
    fleet.run(fleet.config.counted_unlisted_ms - 1000)
    assert not _holds(fleet, "osu-0")
    fleet.run_until(lambda: _holds(fleet, "osu-0"), 6000)


def test_single_instance_serves_alone():
    fleet = VirtualFleet({"osu": 1}, seed=3, know_each_other=False)
    fleet.run_until(lambda: _holds(fleet, "osu-0"), 4000)


def test_pause_drops_the_lease_at_once(fleet):
    fleet.run(1000)
    member = fleet.members["osu-1"]
    resumed_ms = fleet.now_ms + 700
    assert member.holds_lease(fleet.now_ms)
    assert not member.holds_lease(resumed_ms)
    member.tick(resumed_ms)
    assert not member.holds_lease(resumed_ms)


def test_long_pause_causes_no_suspicion(fleet):
    fleet.pause("osu-1", 5000)
    fleet.run(5050)
    assert fleet.members["osu-1"].live("osu") == tuple(fleet.of("osu"))
    fleet.run_until(lambda: _is_complete(fleet), 6000)


def test_returning_instance_waits_for_its_successors_lease_to_expire():
    fleet = VirtualFleet({"osu": 4, "tema": 3}, seed=603, know_each_other=True)
    fleet.run(3000)
    _partition(fleet, ["tema-0", "tema-2", "osu-1", "osu-3"])
    fleet.run(3000)
    _partition(fleet, ["tema-0"])
    for _ in range(40):
        fleet.run(50)
        taker = fleet.members["tema-0"]
        takes = taker.state("tema-1") is InstanceState.DEAD
        takes &= taker.role_valid_from_ms("tema-1") <= fleet.now_ms
        assert not (takes and _holds(fleet, "tema-0") and _holds(fleet, "tema-1"))


def _owners(fleet, observer):
    return [fleet.members[observer].owners(key, 2, "osu") for key in range(200)]


@pytest.mark.parametrize("sizes", [SIZES, {"osu": 3, "tema": 3}, {"osu": 2, "tema": 2}])
def test_one_faulty_reporter_moves_no_owner(sizes):
    fleet = VirtualFleet(sizes, seed=5, know_each_other=True)
    fleet.run(3000)
    faulty_reporter = "osu-0"
    observers = [name for name in fleet.members if name != faulty_reporter]
    before = {name: _owners(fleet, name) for name in observers}
    for _ in range(50):
        members = fleet.members[faulty_reporter].status(fleet.now_ms).members
        false_updates = tuple(
            Suspected(v.instance, v.incarnation, faulty_reporter, 9000)
            for v in members
            if v.instance != faulty_reporter
        )
        for name in observers:
            fleet.members[name].on_message(
                faulty_reporter, Rumours(false_updates), fleet.now_ms
            )
        fleet.run(100)
        assert {name: _owners(fleet, name) for name in observers} == before


def test_no_false_failures_under_packet_loss(fleet):
    fleet.link.loss = 0.05
    failures = []
    for member in fleet.members.values():
        member.on_state_change.append(
            lambda instance, state, now_ms: (
                (failures.append(instance) if state is InstanceState.DEAD else None)
                or []
            )
        )
    fleet.run(30_000)
    assert failures == []


def test_heartbeats_carry_revisions(fleet):
    for member in fleet.members.values():
        member.set_revision(7)
    fleet.run_until(
        lambda: all(
            set(member.revisions().values()) == {7} for member in fleet.members.values()
        ),
        6000,
    )


def test_status_lists_the_suspecting_instances(fleet):
    fleet.kill("osu-1")
    fleet.run(3000)
    status = fleet.members["osu-0"].status(fleet.now_ms)
    statuses = {member.instance: member for member in status.members}
    assert statuses["osu-1"].state is InstanceState.DEAD
    assert len(statuses["osu-1"].suspected_by) >= 2
    assert status.lease_held


def test_effects_of_callbacks_are_returned(fleet):
    asked = SendToPeer("osu-0", Rumours(()))
    fleet.members["osu-2"].on_state_change.append(lambda *_: [asked])
    left = Rumours((Left("osu-1", 1 << 60),))
    effects = fleet.members["osu-2"].on_message("osu-1", left, fleet.now_ms)
    assert asked in effects
