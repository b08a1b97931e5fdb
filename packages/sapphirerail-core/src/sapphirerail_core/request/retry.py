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
    >>> [budget.try_spend() for _ in range(11)].count(True)
    10
    >>> budget.on_request()
    >>> budget.on_request()
    >>> budget.try_spend()
    True
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _TOKENS_MAX

    def on_request(self) -> None:
        """Add the share of one request."""
        self._tokens = min(_TOKENS_MAX, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
