import pytest
from bench.request_storm import ALL_FAULTS, BUSY, Fault, Storm

CASES = [(1, (fault,)) for fault in Fault] + [(2, ALL_FAULTS), (3, ALL_FAULTS)]
N_FORWARDS_MAX = 60


@pytest.mark.parametrize(("seed", "faults"), CASES)
def test_invariants_hold_under_faults(seed, faults):
    storm = Storm(seed, faults, n_requests=120)
    result = storm.run()
    assert result.n_double_runs == 0
    assert result.n_false_refusals == 0
    assert result.n_overruns == 0
    assert result.n_answered > 0


@pytest.mark.parametrize("fault", [Fault.KILL, Fault.PAUSE, Fault.JOIN, Fault.DRAIN])
def test_busy_cold_servers_never_get_a_second_request(fault):
    for seed in range(3):
        storm = Storm(seed, (fault,), n_requests=400, shape=BUSY)
        result = storm.run()
        assert result.n_overruns == 0
        assert result.n_answered > 0


def test_requests_are_not_forwarded_in_cycles():
    # Two owners that had each moved a request to the other kept forwarding its
    # retransmissions to each other for seconds.
    storm = Storm(0, (Fault.PARTITION,), n_requests=400)
    storm.run()
    assert storm.world.n_messages["Forward"] / 400 < N_FORWARDS_MAX


def test_the_baseline_without_claims_violates_the_invariants():
    result = Storm(2, n_requests=120, is_reports_only=True).run()
    assert result.n_double_runs > 0
    assert result.n_overruns > 0
