import random

import pytest

from sapphirerail_core.fleet import FleetConfig, ListedInstance, Membership
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import InstanceState
from sapphirerail_standins.virtual_fleet import VirtualFleet

TODAY = {"osu": 5, "madina": 5, "tema": 5, "kaneshie": 4}


def _whole(fleet):
    """Whether all instances know each other and hold their leases."""
    n_instances = len(fleet.members)
    return all(
        len(member.live()) == n_instances and member.holds_lease(fleet.now_ms)
        for member in fleet.members.values()
    )


@pytest.fixture
def fleet():
    fleet = VirtualFleet(TODAY, seed=11)
    fleet.run_until(lambda: _whole(fleet), 5000)
    return fleet


def _views(fleet, instance):
    return {member.state(instance) for member in fleet.members.values()}


def test_all_join_and_hold_leases(fleet):
    assert _whole(fleet)


def test_death_is_noticed_everywhere(fleet):
    fleet.kill("osu-1")
    fleet.run_until(lambda: _views(fleet, "osu-1") == {InstanceState.DEAD}, 2500)


def test_planned_stop_is_not_a_death(fleet):
    fleet.leave("osu-1")
    fleet.run_until(lambda: _views(fleet, "osu-1") == {InstanceState.LEFT}, 1000)
    assert fleet.members["osu-0"].role_valid_from_ms("osu-1") <= fleet.now_ms


def test_restart_under_the_same_name_is_alive_again(fleet):
    fleet.kill("osu-1")
    fleet.run(200)
    fleet.start("osu-1", "osu")
    fleet.run_until(lambda: _whole(fleet), 4000)
    assert _views(fleet, "osu-1") == {InstanceState.ALIVE}


def test_roles_of_a_dead_instance_wait_for_its_lease(fleet):
    fleet.kill("osu-1")
    killed_ms = fleet.now_ms
    fleet.run_until(lambda: _views(fleet, "osu-1") == {InstanceState.DEAD}, 2500)
    config = fleet.config
    for name in fleet.of("osu"):
        valid_from_ms = fleet.members[name].role_valid_from_ms("osu-1")
        assert valid_from_ms >= killed_ms - config.heartbeat_ms + config.lease_ms


def test_cut_data_centre_serves_on_and_comes_back(fleet):
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
    fleet.run_until(lambda: _whole(fleet), 4000)


def _membership(name):
    return Membership.from_config(
        FleetConfig(), name, "osu", 1, random.Random(name), Journal(name), now_ms=0
    )


def test_first_instance_joins_though_another_joined_it_before_it_had_a_list():
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
