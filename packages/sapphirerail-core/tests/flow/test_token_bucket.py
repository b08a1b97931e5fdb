from sapphirerail_core.flow.token_bucket import TokenBucket


def test_bucket_refills_up_to_its_capacity():
    bucket = TokenBucket(10)
    assert [bucket.take(0) for _ in range(11)] == [True] * 10 + [False]
    assert not bucket.take(99)
    assert bucket.take(100)
    assert [bucket.take(60_000) for _ in range(11)] == [True] * 10 + [False]
