"""Token bucket that holds at most one second's tokens."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token bucket that refills at a constant rate and starts full.

    Parameters
    ----------
    n_per_s : int
        Tokens added per second; also the capacity of the bucket.

    Examples
    --------
    >>> bucket = TokenBucket(n_per_s=2)
    >>> [bucket.take(now_ms) for now_ms in (0, 0, 0, 400, 500)]
    [True, True, False, False, True]
    """

    def __init__(self, n_per_s: int) -> None:
        self._n_per_s = n_per_s
        self._n_tokens = float(n_per_s)
        self._filled_ms: int | None = None

    def take(self, now_ms: int) -> bool:
        """Take a token and return True, or return False if there is none."""
        if self._filled_ms is not None:
            self._n_tokens += self._n_per_s * (now_ms - self._filled_ms) / 1000
        self._n_tokens = min(self._n_tokens, float(self._n_per_s))
        self._filled_ms = now_ms
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True
