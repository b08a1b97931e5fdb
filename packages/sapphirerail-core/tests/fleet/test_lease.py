import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.lease import PeerLease

CONFIG = FleetConfig(lease_ms=1000, lease_margin_ms=200, pause_ms=300)
WITNESSES = ("a", "b", "c", "d")
WAIT_MS = 1200


def _held(start_ms=0):
    """Return a lease that all witnesses acknowledged until `start_ms` + 1400."""
    lease = PeerLease(CONFIG, start_ms)
    for sequence, now_ms in enumerate(range(start_ms, start_ms + 1500, 200)):
        lease.record_round(sequence + 1, now_ms)
        for witness in WITNESSES:
            lease.on_echo(witness, sequence + 1)
        lease.renew(WITNESSES, True, now_ms)
    return lease


def test_lease_starts_after_older_leases_have_expired():
    lease = _held()
    assert lease.holds(1400)
    early = PeerLease(CONFIG, 0)
    early.record_round(1, 0)
    for witness in WITNESSES:
        early.on_echo(witness, 1)
    early.renew(WITNESSES, True, 0)
    assert not early.holds(0)


@pytest.mark.parametrize(("n_witnesses", "holds"), [(2, False), (3, True)])
def test_more_than_half_must_answer(n_witnesses, holds):
    lease = _held()
    for now_ms in range(1600, 3000, 200):
        lease.record_round(now_ms, now_ms)
        for witness in WITNESSES[:n_witnesses]:
            lease.on_echo(witness, now_ms)
        lease.renew(WITNESSES, True, now_ms)
    assert lease.holds(2800) is holds


def test_late_answer_counts_from_the_send_time():
    lease = _held()
    lease.record_round(99, 1500)
    lease.renew(WITNESSES, True, 2350)
    for witness in WITNESSES:
        lease.on_echo(witness, 99)
    lease.renew(WITNESSES, True, 2400)
    assert lease.holds(2499)
    assert not lease.holds(2500)


def test_unknown_echo_is_ignored():
    lease = _held()
    for witness in WITNESSES:
        lease.on_echo(witness, 12345)
    lease.renew(WITNESSES, True, 2500)
    assert not lease.holds(2500)


def test_gap_between_ticks_is_a_pause():
    lease = _held()
    assert lease.holds(1700)
    assert not lease.holds(1701)


def test_dropped_lease_needs_new_answers():
    lease = _held()
    lease.drop(1400)
    lease.renew(WITNESSES, True, 1400)
    assert not lease.holds(1400)
    lease.record_round(50, 1500)
    for witness in WITNESSES:
        lease.on_echo(witness, 50)
    lease.renew(WITNESSES, True, 1500)
    assert lease.holds(1500)
