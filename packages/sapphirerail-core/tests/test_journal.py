from sapphirerail_core.journal import Journal, Reason


def test_oldest_entries_are_overwritten_first():
    journal = Journal("osu-1", n_entries=3)
    for at_ms in range(5):
        journal.record(at_ms, Reason.FLOW_OPENED)
    assert [entry.at_ms for entry in journal.entries()] == [2, 3, 4]


def test_entries_record_instance_and_revision_at_that_time():
    journal = Journal("osu-1")
    journal.record(1, Reason.FLOW_OPENED, flow=7)
    journal.revision = 2
    journal.record(2, Reason.FLOW_CLOSED, flow=7)
    recorded = [(entry.instance, entry.revision) for entry in journal.entries()]
    assert recorded == [("osu-1", 0), ("osu-1", 2)]


def test_reason_codes_are_unique_and_grouped():
    codes = [reason.value for reason in Reason]
    assert len(set(codes)) == len(codes)
    assert all(code.count(".") == 1 for code in codes)
