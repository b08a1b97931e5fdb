"""Retry budget, a share of recent requests."""

__all__ = ["RetryBudget"]

_TOKENS_MAX = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    Parameters
    ----------
    share : float
        Retries allowed per request.

    Examples
    --------
    >>> budget = RetryBudget(0.5)
    >>> for _ in range(10):
    ...     budget.spend()
    >>> budget.has_token()
    False
    >>> budget.on_request()
    >>> budget.on_request()
    >>> budget.has_token()
    True
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _TOKENS_MAX

    def on_request(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(_TOKENS_MAX, self._tokens + self._share)

    def has_token(self) -> bool:
        """Return whether the budget allows a retry."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Remove the token of one retry."""
        self._tokens -= 1.0
