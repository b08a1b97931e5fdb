import random

from sapphirerail_core.fleet.budget import TickBudget
from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.messages import Alive, MemberRecord, SyncRequest
from sapphirerail_core.fleet.page_queue import N_QUEUED_MAX, PageQueue
from sapphirerail_core.fleet.roster import Roster
from sapphirerail_core.fleet.sync import MemberSync

CONFIG = FleetConfig()
ALL = SyncRequest("", 0)


def _page_queue():
    own = MemberRecord("osu-0", "osu", "", "", 1)
    roster = Roster(CONFIG, own, 0, lambda member, now_ms: None)
    for n in range(1, 40):
        record = MemberRecord(f"osu-{n}", "osu", "10.0.0.1:1", "10.0.0.1:2", 1)
        roster.apply(Alive(record), 0)
    budget = TickBudget(300)
    sync = MemberSync(CONFIG, roster, random.Random(1), 0)
    return PageQueue(sync, budget), budget


def test_page_waits_for_the_budget_of_a_later_tick():
    page_queue, budget = _page_queue()
    assert [e.instance for e in page_queue.request("osu-1", ALL, 0)] == ["osu-1"]
    assert page_queue.request("osu-2", ALL, 0) == []
    assert page_queue.request("osu-3", ALL, 0) == []
    budget.refill()
    assert [e.instance for e in page_queue.tick(100)] == ["osu-2"]
    budget.refill()
    assert [e.instance for e in page_queue.tick(200)] == ["osu-3"]


def test_queue_length_is_limited():
    page_queue, budget = _page_queue()
    budget.spend(10_000)
    for n in range(2 * N_QUEUED_MAX):
        page_queue.request(f"asker-{n}", ALL, 0)
    budget.spend(-1_000_000)
    assert len(page_queue.tick(0)) == N_QUEUED_MAX
