import pytest

from sapphirerail_core.steering import Refresh, RefreshConfig

CONFIG = RefreshConfig()


def test_a_new_instance_reads_at_once():
    assert Refresh(CONFIG, 0).wait_ms(0, 0, 0) == 0


def test_lower_ranks_read_at_the_interval_and_higher_ranks_later():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 1_000)
    waits = [refresh.wait_ms(0, rank, 1_000) for rank in range(3)]
    assert waits[0] == CONFIG.interval_ms
    assert waits == sorted(set(waits))
    assert refresh.wait_ms(1, 0, 1_000) > waits[0]


def test_every_instance_reads_within_the_time_of_a_drain():
    refresh = Refresh(CONFIG, 0)
    assert refresh.delay_ms(6, 500) == CONFIG.max_age_ms < 3_000


def test_a_read_by_another_instance_restarts_the_wait():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 1_000)
    assert refresh.on_update(2, 20, 9_000, 1_400)
    assert refresh.age_ms(1_400) == 20
    assert refresh.wait_ms(0, 0, 1_400) == CONFIG.interval_ms - 20


def test_an_older_read_is_ignored():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(5, 1_000)
    assert not refresh.on_update(4, 0, 9_000, 1_400)
    assert not refresh.on_update(6, 500, 9_000, 1_400)
    assert refresh.store_revision == 5


def test_failed_reads_back_off_up_to_the_maximum():
    refresh = Refresh(CONFIG, 0)
    waits = []
    for _ in range(6):
        refresh.on_failure(1_000)
        waits.append(refresh.wait_ms(0, 0, 1_000))
    assert waits[0] == CONFIG.retry_ms
    assert waits[-1] == CONFIG.retry_max_ms


def test_the_steady_time_starts_at_the_end_of_an_outage():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 10_000)
    assert refresh.steady_ms(10_000) == 10_000
    refresh.on_failure(11_000)
    refresh.on_read(2, 12_000)
    assert refresh.steady_ms(12_500) == 500


def test_the_steady_time_is_that_of_the_newest_read():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 10_000)
    refresh.on_update(2, 100, 400, 11_000)
    assert refresh.steady_ms(11_000) == 500


def test_a_requested_read_keeps_the_minimum_interval():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 1_000)
    refresh.request_read()
    assert refresh.wait_ms(0, 5, 1_001) == CONFIG.min_interval_ms - 1
    assert refresh.wait_ms(0, 5, 1_000 + CONFIG.min_interval_ms) == 0


def test_a_read_that_was_overtaken_by_another_instances_is_not_applied():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(5, 1_000)
    refresh.on_failure(1_400)
    assert refresh.on_update(9, 10, 9_000, 2_000)
    assert not refresh.on_read(8, 1_800)
    assert (refresh.store_revision, refresh.read_at_ms()) == (9, 1_990)
    assert refresh.wait_ms(0, 0, 1_990) == CONFIG.interval_ms


def test_a_read_that_is_older_than_an_update_during_it_is_not_applied():
    # Guards against servers and instances that are set back to an older revision: the
    # other instance's read began before this one, but took effect after it.
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(5, 1_000)
    assert refresh.on_update(9, 600, 9_000, 2_300)
    assert not refresh.on_read(8, 1_800)
    assert refresh.store_revision == 9
    assert refresh.on_read(9, 2_301)


def test_an_own_read_corrects_a_revision_that_the_store_never_had():
    refresh = Refresh(CONFIG, 0)
    assert refresh.on_update(2**62, 0, 9_000, 1_000)
    assert refresh.on_read(7, 1_500)
    assert refresh.store_revision == 7
    assert refresh.on_update(8, 0, 9_000, 2_000)


def test_the_steady_time_starts_anew_after_a_time_without_news():
    # Guards against the steady time of a reader that was not cut off: after a cut, the
    # instances of the data centre took their own servers, whose entries had expired
    # behind the cut, for departed, and reset their open flows.
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 10_000)
    assert refresh.on_update(2, 20, 9_000, 15_000)
    assert refresh.steady_ms(15_000) == 0
    assert refresh.on_update(3, 20, 9_500, 15_500)
    assert refresh.steady_ms(15_500) == 500


def test_a_late_read_of_a_slow_store_is_no_time_without_news():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 10_000)
    assert refresh.on_update(2, 20, 9_000, 10_000 + CONFIG.max_age_ms + 300)
    assert refresh.steady_ms(12_000) > 9_000


def test_an_own_read_after_a_time_without_news_starts_the_steady_time():
    refresh = Refresh(CONFIG, 0)
    refresh.on_read(1, 10_000)
    refresh.on_read(2, 16_000)
    assert refresh.steady_ms(16_500) == 500


@pytest.mark.parametrize("n_instances", [35, 557])
def test_an_outage_of_the_store_draws_few_calls_from_a_large_data_centre(n_instances):
    # Pattern: the store is away for all. Each instance tried again every second: 143 of
    # them made 143 refused calls a second, 3,900 would make more than the store's limit
    # of 2,000 and keep it from coming back.
    schedules = [Refresh(CONFIG, 0) for _ in range(n_instances)]
    n_calls = 0
    for refresh in schedules:
        refresh.on_read(1, 0)
    first_ms, end_ms = 10_000, 20_000
    for rank, refresh in enumerate(schedules):
        now_ms = CONFIG.max_age_ms
        while now_ms < end_ms:
            refresh.on_failure(now_ms)
            n_calls += now_ms >= first_ms
            now_ms += refresh.wait_ms(0, rank, now_ms)
    calls_per_s = n_calls / ((end_ms - first_ms) / 1_000)
    assert calls_per_s <= 2_000 / 7
    assert schedules[0].wait_ms(0, 0, 20_000) <= CONFIG.retry_max_ms


def test_an_instance_without_a_state_is_not_kept_waiting_by_its_rank():
    refresh = Refresh(CONFIG, 0)
    for _ in range(6):
        refresh.on_failure(1_000)
    assert refresh.wait_ms(0, 500, 1_000) == CONFIG.retry_max_ms
