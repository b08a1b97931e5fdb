import random

import pytest

from sapphirerail_core.effects import SendToPeer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal, Reason
from sapphirerail_core.plan import EMPTY_PLAN
from sapphirerail_core.plan.delta import PlanAnswer, delta_since
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.messages import UNKNOWN_AGE, PlanNews
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sync import FetchPlan, PlanSync, ReadStore, SyncConfig
from sapphirerail_standins.plan_network import NetworkConfig, PlanNetwork

BOUND_MS = 4000
MEMBERS = {f"i{n:02}": f"d{n % 4}" for n in range(19)}
CONFIG = SyncConfig()


def _apply(plan, *lines):
    text = "\n".join(("kind,name,tenant,state", *lines, ""))
    change = apply_lines(plan, parse_sheet(text.encode()).lines, plan.revision, 0)
    assert change.n_changed
    return change.plan


FIRST = _apply(EMPTY_PLAN, "data_centre,d0,,in", "service,s,t,")
SECOND = _apply(FIRST, "data_centre,d0,,out")
THIRD = _apply(SECOND, "data_centre,d0,,in")
FORK = _apply(_apply(FIRST, "service,x,t,"), "service,y,t,")


def _sync(members=None, name="i00"):
    fleet = FixedFleet(name, members or MEMBERS)
    return PlanSync(CONFIG, fleet, Journal(name), random.Random(1))


def _messages(actions):
    return [action for action in actions if isinstance(action, SendToPeer)]


def _fetches(actions):
    return [action for action in actions if isinstance(action, FetchPlan)]


def _reads(sync, from_ms, to_ms):
    """Return how many ticks request a read of the store."""
    actions = [a for now_ms in range(from_ms, to_ms, 100) for a in sync.tick(now_ms)]
    return sum(isinstance(action, ReadStore) for action in actions)


def _announcement(plan, age_ms=UNKNOWN_AGE):
    return PlanNews(plan.revision, plan.digest, age_ms)


def test_newer_plan_is_requested_once():
    sync = _sync()
    sync.on_store_plan(FIRST, 0)
    assert sync.on_message("i01", _announcement(THIRD), 10) == [FetchPlan("i01", 1)]
    assert sync.on_message("i02", _announcement(THIRD), 11) == []


def test_fetched_plan_is_installed_and_announced():
    sync = _sync()
    sync.on_store_plan(FIRST, 0)
    sync.on_message("i01", _announcement(SECOND), 10)
    answer = PlanAnswer(SECOND.revision, 3, delta=delta_since(SECOND, 1))
    actions = sync.on_answer("i01", answer, 20)
    assert sync.plan == SECOND
    assert sync.source.instance == "i01"
    assert len(_messages(actions)) == CONFIG.fan_out
    assert sync.contact_age_ms(20) == 3


def test_burst_of_changes_is_fetched_in_steps():
    sync = _sync()
    sync.on_store_plan(FIRST, 0)
    sync.on_message("i01", _announcement(SECOND), 10)
    answer = PlanAnswer(SECOND.revision, 3, delta=delta_since(SECOND, 1))
    sync.on_answer("i01", answer, 20)
    assert sync.on_message("i02", _announcement(THIRD), 30) == []
    due_ms = 20 + CONFIG.min_fetch_interval_ms
    assert _fetches(sync.tick(due_ms - 1)) == []
    assert _fetches(sync.tick(due_ms)) == [FetchPlan("i02", 2)]


def test_older_announcement_is_answered_with_the_local_revision():
    sync = _sync()
    sync.on_store_plan(SECOND, 0)
    (reply,) = sync.on_message("i01", _announcement(FIRST), 10)
    assert reply.instance == "i01"
    assert (reply.message.revision, reply.message.digest) == (2, SECOND.digest)
    assert sync.plan is SECOND


@pytest.mark.parametrize(
    ("plan", "limit_ms"),
    [(FIRST, CONFIG.fetch_timeout_ms), (EMPTY_PLAN, CONFIG.full_timeout_ms)],
)
def test_fetch_timeout_moves_to_another_peer(plan, limit_ms):
    sync = _sync()
    sync.on_store_plan(plan, 0)
    sync.on_message("i01", _announcement(THIRD), 0)
    sync.on_message("i02", _announcement(SECOND), 0)
    assert _fetches(sync.tick(limit_ms - 1)) == []
    assert _fetches(sync.tick(limit_ms)) == [FetchPlan("i02", plan.revision)]


def test_repeated_refusal_is_recorded_once():
    sync = _sync()
    sync.on_store_plan(THIRD, 0)
    for now_ms in range(0, 100_000, 2000):
        sync.on_store_plan(FIRST, now_ms)
    assert sync.n_stale == 50
    assert len(sync._journal.entries()) == 1


def test_failed_fetch_moves_to_another_peer():
    sync = _sync()
    sync.on_message("i01", _announcement(THIRD), 0)
    sync.on_message("i02", _announcement(THIRD), 0)
    assert sync.on_fetch_failed("i01", 5) == [FetchPlan("i02", 0)]
    assert sync.on_fetch_failed("i02", 9) == []


def test_late_response_does_not_revert_the_plan():
    sync = _sync()
    sync.on_store_plan(FIRST, 0)
    sync.on_message("i01", _announcement(SECOND), 10)
    sync.on_store_plan(THIRD, 20)
    answer = PlanAnswer(SECOND.revision, 3, delta=delta_since(SECOND, 1))
    sync.on_answer("i01", answer, 30)
    assert sync.plan is THIRD


def test_store_with_a_lower_revision_is_refused_and_recorded():
    sync = _sync()
    sync.on_store_plan(THIRD, 0)
    assert sync.on_store_plan(FIRST, 10) == []
    assert sync.plan is THIRD
    assert sync.is_store_behind
    assert [e.reason for e in sync._journal.entries()] == [Reason.PLAN_STALE]
    sync.on_store_plan(THIRD, 20)
    assert not sync.is_store_behind


def test_equal_revision_with_different_content_is_recorded():
    sync = _sync()
    sync.on_store_plan(THIRD, 0)
    assert FORK.revision == THIRD.revision
    assert sync.on_message("i01", _announcement(FORK), 10) == []
    assert sync.n_stale == 1


def test_delta_that_does_not_apply_leads_to_a_full_fetch():
    sync = _sync()
    sync.on_store_plan(FORK, 0)
    fourth = _apply(THIRD, "service,z,t,")
    sync.on_message("i01", _announcement(fourth), 10)
    answer = PlanAnswer(fourth.revision, 0, delta=delta_since(fourth, 3))
    assert sync.on_answer("i01", answer, 20) == [FetchPlan("i01", 0)]
    assert sync.plan is FORK


def test_invalid_full_response_stops_requests_to_the_peer():
    sync = _sync()
    sync.on_store_plan(FORK, 0)
    fourth = _apply(THIRD, "service,z,t,")
    invalid = PlanAnswer(fourth.revision, 0, delta=delta_since(fourth, 3))
    sync.on_message("i01", _announcement(fourth), 10)
    sync.on_answer("i01", invalid, 20)
    assert sync.on_answer("i01", invalid, 30) == []


def test_only_readers_poll_the_store_while_contact_is_recent():
    readers = 0
    for name in MEMBERS:
        sync = _sync(name=name)
        sync.on_store_plan(FIRST, 0)
        n_reads = _reads(sync, 0, 10_000)
        readers += sync.is_reader
        assert (n_reads > 0) is sync.is_reader
    assert readers == 4 * CONFIG.n_readers


def test_other_instances_poll_the_store_when_contact_is_stale():
    names = [name for name in MEMBERS if MEMBERS[name] == "d0"]
    reads = {}
    for name in names:
        sync = _sync(name=name)
        sync.on_store_plan(FIRST, 0)
        first = _reads(sync, 0, CONFIG.contact_stale_ms)
        reads[name] = _reads(sync, CONFIG.contact_stale_ms, 200_000)
        assert sync.is_reader or first == 0
    others = [n for name, n in reads.items() if n < 50]
    assert len(others) == len(names) - CONFIG.n_readers
    assert min(others) > 0
    # One read every five seconds from the whole data centre is expected.
    assert sum(others) < 2 * 180_000 / CONFIG.fallback_interval_ms


def test_contact_time_of_a_peer_with_a_newer_plan_is_ignored():
    sync = _sync()
    sync.on_store_plan(FIRST, 0)
    sync.on_message("i01", _announcement(SECOND, age_ms=0), 5000)
    assert sync.contact_age_ms(5000) == 5000
    sync.on_message("i02", _announcement(FIRST, age_ms=100), 5000)
    assert sync.contact_age_ms(5000) == 100


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("unresponsive_watches", [False, True])
def test_change_is_in_force_on_all_instances_in_time(loss, unresponsive_watches):
    for seed in range(20):
        _check_dissemination(
            seed, NetworkConfig(loss=loss, unresponsive_watches=unresponsive_watches)
        )


def _check_dissemination(seed, config):
    network = PlanNetwork(MEMBERS, seed, config)
    network.write(FIRST)
    assert network.run_until(lambda: network.all_reached(1), 2 * BOUND_MS)
    network.run(10_000)
    network.write(SECOND)
    assert network.run_until(lambda: network.all_reached(2), BOUND_MS)


def test_new_instances_get_the_plan_from_peers_while_the_store_is_down():
    network = PlanNetwork(MEMBERS, 1, NetworkConfig(loss=0.05))
    network.write(SECOND)
    network.run(5000)
    network.is_store_up = False
    for name in MEMBERS:
        network.start(name)
        assert network.run_until(lambda: network.all_reached(2), BOUND_MS)
    assert all(sync.plan == SECOND for sync in network.syncs.values())


def test_single_instance_without_store_has_no_plan():
    network = PlanNetwork({"i0": "d0"}, 1)
    network.is_store_up = False
    network.run(60_000)
    sync = network.syncs["i0"]
    assert (sync.plan.revision, sync.source) == (0, None)
    assert sync.contact_age_ms(network.now_ms) == UNKNOWN_AGE


def test_partitioned_data_centre_keeps_its_plan_and_reports_its_age():
    network = PlanNetwork(MEMBERS, 1)
    network.write(FIRST)
    network.run(5000)
    network.partitioned = {"d0"}
    network.write(SECOND)
    network.run(60_000)
    inside = [network.syncs[n] for n in MEMBERS if MEMBERS[n] == "d0"]
    outside = [network.syncs[n] for n in MEMBERS if MEMBERS[n] != "d0"]
    assert {sync.plan.revision for sync in inside} == {1}
    assert {sync.plan.revision for sync in outside} == {2}
    assert min(s.contact_age_ms(network.now_ms) for s in inside) >= 60_000
    assert max(s.contact_age_ms(network.now_ms) for s in outside) < 30_000
    network.partitioned = set()
    assert network.run_until(lambda: network.all_reached(2), BOUND_MS)
    assert network.n_reverts == 0


def test_fork_after_a_store_restore_converges_to_the_higher_revision():
    network = PlanNetwork(MEMBERS, 1)
    network.write(SECOND)
    network.run(5000)
    network.partitioned = {"d0"}
    network.write(THIRD)
    network.run(5000)
    # The store is restored with FIRST, and further writes continue from there.
    higher = _apply(FORK, "service,z,t,")
    network.write(FIRST)
    network.run(5000)
    network.write(FORK)
    network.run(5000)
    assert all(s.plan in (SECOND, THIRD) for s in network.syncs.values())
    network.partitioned = set()
    network.write(higher)
    network.run(BOUND_MS)
    assert all(sync.plan == higher for sync in network.syncs.values())
    assert network.n_reverts == 0
