import random

import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.messages import Alive, MemberRecord, Suspected, SyncRequest
from sapphirerail_core.fleet.roster import Roster
from sapphirerail_core.fleet.sync import MemberSync

CONFIG = FleetConfig(n_page=3)
NAMES = [f"osu-{n}" for n in range(4)] + [f"tema-{n}" for n in range(4)]


@pytest.fixture
def roster():
    roster = Roster(CONFIG, _record("osu-0"), 0, lambda member, now_ms: None)
    for name in NAMES:
        roster.apply(Alive(_record(name)), 0)
    return roster


@pytest.fixture
def sync(roster):
    return MemberSync(CONFIG, roster, random.Random(1), 0)


def _record(name):
    return MemberRecord(name, name.split("-")[0], "", "", 1)


def _requested_peers(sync, digests, until_ms):
    """Return the peers that are asked for pages if all send digests every 250 ms."""
    peers = set()
    for now_ms in range(0, until_ms, 250):
        for sender, digest in digests.items():
            effects = sync.on_digest(sender, digest, now_ms)
            peers.update(effect.instance for effect in effects)
    return peers


def _pages(sync, requester, request, now_ms=0):
    names = []
    while request is not None:
        page = sync.page(requester, request, now_ms)
        names.append([r.record.instance for r in page.updates if isinstance(r, Alive)])
        request = sync.next_request(page)
    return names


def test_pages_list_each_member_once_and_the_requesters_data_centre_first(sync):
    pages = _pages(sync, "tema-1", SyncRequest("", 0))
    assert [len(page) for page in pages] == [3, 3, 2]
    assert sum(pages, []) == NAMES[4:] + NAMES[:4]


def test_windowed_pages_contain_only_changes(sync, roster):
    for reporter in ("osu-1", "osu-3"):
        roster.apply(Suspected("osu-2", 1, reporter, 1000), 9000)
    pages = _pages(sync, "osu-1", SyncRequest("", 500), 9200)
    assert sum(pages, []) == []
    page = sync.page("osu-1", SyncRequest("", 500), 9200)
    assert {update.reporter for update in page.updates} == {"osu-1", "osu-3"}
    assert {update.instance for update in page.updates} == {"osu-2"}


def test_windowed_pages_contain_records_the_requester_may_lack(sync, roster):
    renewed = MemberRecord("osu-2", "osu", "", "", 2)
    roster.apply(Alive(renewed), 8900)
    for reporter in ("osu-1", "osu-3"):
        roster.apply(Suspected("osu-2", 2, reporter, 1000), 9000)
    page = sync.page("osu-1", SyncRequest("", 500), 9200)
    assert Alive(renewed) in page.updates


def test_short_digest_mismatch_sends_no_request(sync):
    assert _requested_peers(sync, {"osu-1": 1}, CONFIG.sync_after_ms) == set()


def test_mismatch_is_detected_although_another_neighbour_agrees(sync, roster):
    digests = {"osu-1": roster.digest, "osu-2": 1}
    assert _requested_peers(sync, digests, 20_000) == {"osu-2"}


def test_another_data_centre_is_compared_as_a_whole(sync, roster):
    digests = {"tema-1": roster.digest, "tema-2": 1}
    assert _requested_peers(sync, digests, 20_000) == set()


def _windows(sync, roster, with_updates):
    """Return the windows of five requests, with or without an update before each."""
    windows = []
    for now_ms in range(0, 60_000, 250):
        for effect in sync.on_digest("osu-1", 1, now_ms):
            windows.append(effect.message.changed_within_ms)
            if with_updates:
                record = MemberRecord(f"osu-{now_ms}", "osu", "", "", 1)
                roster.apply(Alive(record), now_ms)
    return windows[:5]


def test_window_does_not_grow_while_updates_arrive(sync, roster):
    windows = _windows(sync, roster, True)
    assert 0 not in windows
    assert max(windows) < 60_000 + 10_000


def test_all_members_are_requested_if_no_updates_arrive(sync, roster):
    assert _windows(sync, roster, False)[-1] == 0
