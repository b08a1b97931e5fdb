import random

import pytest

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.request.config import DispatcherConfig
from sapphirerail_core.request.context import Context
from sapphirerail_core.request.history import MembershipHistory
from sapphirerail_core.types import InstanceState

SETTLE_MS = 2_000
MEMBERS = {name: "osu" for name in ("osu-a", "osu-b", "osu-c")}


@pytest.fixture
def context():
    config = DispatcherConfig(view_settle_ms=SETTLE_MS)
    fleet = FixedFleet("osu-a", MEMBERS)
    return Context(config, fleet, None, Journal("osu-a"), random.Random(1))


def test_view_settles_after_a_delay_from_the_start(context):
    assert MembershipHistory(context, 500).settled_at_ms(600) == 500 + SETTLE_MS


def test_view_is_not_settled_before_the_start_is_known(context):
    history = MembershipHistory(context, None)
    assert history.settled_at_ms(100) > 100
    history.start(300)
    assert history.settled_at_ms(5_000) == 300 + SETTLE_MS


def test_short_pause_does_not_unsettle_the_view(context):
    history = MembershipHistory(context, 0)
    history.on_pause(SETTLE_MS // 2, 9_000)
    assert history.settled_at_ms(9_000) == SETTLE_MS
    assert not history.is_complete(9_000)


def test_long_pause_unsettles_the_view(context):
    history = MembershipHistory(context, 0)
    history.on_pause(SETTLE_MS, 9_000)
    assert history.settled_at_ms(9_000) == 9_000 + SETTLE_MS


def test_instance_counts_as_recently_joined_until_all_know_it(context):
    history = MembershipHistory(context, 0)
    history.on_state("osu-b", InstanceState.ALIVE, 5_000)
    assert history.recently_joined(5_000 + SETTLE_MS - 1) == {"osu-b"}
    assert history.recently_joined(5_000 + SETTLE_MS) == set()


def test_returned_instance_counts_as_recently_joined_and_not_as_failed(context):
    history = MembershipHistory(context, 0)
    history.on_state("osu-b", InstanceState.DEAD, 30_000)
    assert history.n_failed_replicas(7, ("osu-a", "osu-c"), 30_001) == 1
    history.on_state("osu-b", InstanceState.ALIVE, 31_000)
    assert history.n_failed_replicas(7, ("osu-a", "osu-c"), 31_001) == 0
    assert history.recently_joined(31_001) == {"osu-b"}
