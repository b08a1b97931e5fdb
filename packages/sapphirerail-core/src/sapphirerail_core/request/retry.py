"""Budget of retries as a share of recent requests."""

__all__ = ["RetryBudget"]

_TOKENS_MAX = 10.0


class RetryBudget:
    """Token bucket that is filled by requests and emptied by retries.

    Parameters
    ----------
    share : float
        Retries allowed for each request.

    Examples
    --------
    >>> budget = RetryBudget(0.5)
    >>> for _ in range(10):
    ...     budget.spend()
    >>> budget.has_one()
    False
    >>> budget.on_request()
    >>> budget.on_request()
    >>> budget.has_one()
    True
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _TOKENS_MAX

    def on_request(self) -> None:
        """Add the share of one request."""
        self._tokens = min(_TOKENS_MAX, self._tokens + self._share)

    def has_one(self) -> bool:
        """Return whether the budget allows a retry."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take one retry from the budget."""
        self._tokens -= 1.0
