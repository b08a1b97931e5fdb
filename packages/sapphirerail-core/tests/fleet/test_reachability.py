from sapphirerail_core.fleet.reachability import HOP_MS, Reachability


def _reach():
    reach = Reachability("osu", 2000)
    reach.tick(["osu", "tema"], 0)
    return reach


def test_data_centre_is_unreachable_until_the_next_contact():
    reach = _reach()
    assert reach.tick(["osu", "tema"], 2000) == []
    assert reach.tick(["osu", "tema"], 2001) == ["tema"]
    assert reach.is_unreachable("tema")
    assert not reach.is_unreachable("osu")
    reach.record_contact("tema", 2500)
    assert reach.tick(["osu", "tema"], 2500) == ["tema"]
    assert not reach.is_unreachable("tema")


def test_contacts_of_peers_count_with_their_age():
    reach = _reach()
    reach.merge_contact_ages({"tema": 100}, 3000)
    assert reach.contact_ages(3000) == {"tema": 100 + HOP_MS}
    reach.merge_contact_ages({"tema": 900}, 3000)
    assert reach.contact_ages(3000) == {"tema": 100 + HOP_MS}


def test_peers_do_not_refresh_each_others_stale_contacts():
    one, other = _reach(), _reach()
    for now_ms in range(0, 2600, 100):
        other.merge_contact_ages(one.contact_ages(now_ms), now_ms)
        one.merge_contact_ages(other.contact_ages(now_ms), now_ms)
    assert one.tick(["tema"], 2600) == ["tema"]


def test_pause_does_not_make_unreachable():
    reach = _reach()
    reach.reset_timers(9000)
    assert reach.tick(["tema"], 9000) == []
