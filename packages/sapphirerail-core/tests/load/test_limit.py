from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.datagram import HealthReport
from sapphirerail_core.load import ConcurrencyLimit, LimitConfig, LimitState

CONFIG = LimitConfig(warm_up_ms=1_000, n_answers_to_increase=4)


def make_warm_limit(n_slots=2) -> ConcurrencyLimit:
    limit = ConcurrencyLimit(n_slots, CONFIG, 0)
    for i in range(4 * n_slots):
        limit.on_answer(50, 1_000 * (i + 1))
    assert limit.n_allowed(10_000) == n_slots
    return limit


def test_new_server_gets_one_request_at_a_time():
    assert ConcurrencyLimit(2, CONFIG, 0).n_allowed(0) == 1


def test_limit_does_not_increase_before_warm_up_time():
    limit = ConcurrencyLimit(2, CONFIG, 0)
    for i in range(20):
        limit.on_answer(50, i)
    assert limit.n_allowed(20) == 1


def test_limit_does_not_increase_without_enough_answers():
    limit = ConcurrencyLimit(2, CONFIG, 0)
    limit.on_answer(50, 60_000)
    assert limit.n_allowed(60_000) == 1


def test_timeout_resets_limit_of_warm_server():
    limit = make_warm_limit()
    limit.on_timeout(10_000)
    assert limit.n_allowed(10_000) == 1
    assert limit.state is LimitState.WARMING


def test_consecutive_slow_answers_reset_limit_of_warm_server():
    limit = make_warm_limit()
    for _ in range(CONFIG.n_slow_to_reset):
        limit.on_answer(500, 10_000)
    assert limit.n_allowed(10_000) == 1


def test_one_slow_answer_keeps_limit():
    limit = make_warm_limit()
    limit.on_answer(500, 10_000)
    limit.on_answer(50, 10_100)
    assert limit.n_allowed(10_100) == 2


def test_answers_three_times_as_slow_cool_a_warm_server():
    # Guards against a latency factor of 3: cold servers took 300 ms for requests that
    # take warm ones 100 ms, and with a mean of 101 ms no answer counted as slow.
    limit = make_warm_limit()
    for _ in range(CONFIG.n_slow_to_reset):
        limit.on_answer(149, 10_000)
    assert limit.n_allowed(10_000) == 1


def test_slow_answers_at_minimum_limit_restart_warm_up():
    # Guards against an increase while the server is still cold: it turned cold at
    # 900 ms, but the time before that counted towards its warm-up.
    limit = ConcurrencyLimit(2, CONFIG, 0)
    for i in range(8):
        limit.on_answer(50, 100 * i)
    for i in range(30):
        limit.on_answer(150, 900 + 30 * i)
    assert limit.n_allowed(1_800) == 1
    for i in range(4):
        limit.on_answer(50, 2_000 + i)
    assert limit.n_allowed(2_100) == 2


def test_persistent_higher_latency_becomes_normal():
    limit = make_warm_limit()
    for i in range(40):
        limit.on_answer(500, 10_000 + 1_000 * i)
    assert limit.n_allowed(60_000) == 2


def test_shed_request_resets_limit():
    limit = make_warm_limit()
    limit.on_shed(10_000)
    assert limit.n_allowed(10_000) == 1


def test_report_of_lost_flows_counts_as_restart():
    limit = make_warm_limit()
    limit.on_report(HealthReport(1, 0, 300), 10_000)
    limit.on_report(HealthReport(0, 0, 0), 11_000)
    assert limit.n_allowed(11_000) == 1


def test_health_reports_do_not_increase_limit():
    limit = ConcurrencyLimit(2, CONFIG, 0)
    for i in range(20):
        limit.on_report(HealthReport(0, 0, 5), 1_000 * i)
    assert limit.n_allowed(20_000) == 1


def test_unresponsive_server_is_ejected_and_then_gets_one_trial_request():
    limit = make_warm_limit()
    limit.on_timeout(10_000)
    limit.on_timeout(10_001)
    assert limit.state is LimitState.EJECTED
    assert limit.n_allowed(10_002) == 0
    assert limit.n_allowed(10_001 + CONFIG.ejection_ms) == 1


def test_each_failed_trial_doubles_ejection_time():
    limit = make_warm_limit()
    limit.on_timeout(10_000)
    limit.on_timeout(10_000)
    limit.on_timeout(20_000)
    assert limit.n_allowed(20_000 + CONFIG.ejection_ms) == 0
    assert limit.n_allowed(20_000 + 2 * CONFIG.ejection_ms) == 1


def test_answer_ends_ejection_and_restarts_warm_up():
    limit = make_warm_limit()
    limit.on_timeout(10_000)
    limit.on_timeout(10_000)
    limit.on_answer(50, 12_000)
    assert limit.state is LimitState.WARMING
    assert limit.n_allowed(12_000) == 1


def test_reset_after_increase_doubles_next_warm_up_time():
    limit = ConcurrencyLimit(4, CONFIG, 0)
    for i in range(4):
        limit.on_answer(50, 1_000 + i)
    assert limit.n_allowed(1_100) == 2
    limit.on_timeout(1_200)
    for i in range(20):
        limit.on_answer(50, 2_300 + i)
    assert limit.n_allowed(2_400) == 1
    limit.on_answer(50, 3_300)
    assert limit.n_allowed(3_300) == 2


@settings(derandomize=True, max_examples=200)
@given(
    n_slots=st.integers(1, 8),
    events=st.lists(
        st.tuples(
            st.sampled_from(["answer", "slow", "shed", "stall", "timeout", "restart"]),
            st.integers(0, 3_000),
        ),
        max_size=60,
    ),
)
def test_limit_stays_in_range_and_resets_on_any_sign_of_a_cold_server(n_slots, events):
    limit = ConcurrencyLimit(n_slots, CONFIG, 0)
    now_ms = 0
    for name, delay_ms in events:
        now_ms += delay_ms
        if name == "answer":
            limit.on_answer(50, now_ms)
        elif name == "slow":
            limit.on_answer(5_000, now_ms)
        else:
            getattr(limit, f"on_{name}")(now_ms)
            assert limit.n_allowed(now_ms) <= 1
        assert 0 <= limit.n_allowed(now_ms) <= n_slots
