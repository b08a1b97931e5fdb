from sapphirerail_core.flow.budget import Budget


def test_a_budget_refills_with_time_up_to_a_second():
    budget = Budget(10)
    assert [budget.take(0) for _ in range(11)] == [True] * 10 + [False]
    assert not budget.take(99)
    assert budget.take(100)
    assert [budget.take(60_000) for _ in range(11)] == [True] * 10 + [False]
