"""Detects when a graceful shutdown is complete."""

from typing import NamedTuple

__all__ = ["OpenWork", "Shutdown"]


class OpenWork(NamedTuple):
    """Open work that must complete before the process may stop."""

    n_in_flight: int = 0
    """Requests and openings without an outcome."""
    n_unacknowledged: int = 0
    """Batches and records of flows that no other instance has acknowledged."""


class Shutdown:
    """Waits until all open work is complete and traffic has stopped.

    Another instance must have taken over each flow; otherwise the server's packets of
    the flow are lost until its caller sends the next packet. Acknowledgements of the
    hand-over can be lost and are then retransmitted.

    The fabric sprays packets at a leaving instance until its instance list is up to
    date, and a backend server answers through it until another instance is on the
    flow's return path. So the process forwards packets until neither callers nor
    servers have sent any for the linger time.

    Parameters
    ----------
    linger_ms : int
        Time without packets of callers or flows after which the shutdown completes.
    timeout_ms : int
        Timeout of the shutdown.

    Examples
    --------
    >>> shutdown = Shutdown(linger_ms=100, timeout_ms=1000)
    >>> shutdown.begin(now_ms=0)
    >>> shutdown.is_complete(now_ms=100, open_work=OpenWork(n_in_flight=1))
    False
    >>> shutdown.is_complete(now_ms=100, open_work=OpenWork())
    True
    """

    def __init__(self, linger_ms: int, timeout_ms: int) -> None:
        self._linger_ms = linger_ms
        self._timeout_ms = timeout_ms
        self._started_ms: int | None = None
        self._last_traffic_ms = 0

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has started."""
        return self._started_ms is not None

    def begin(self, now_ms: int) -> None:
        """Start the shutdown."""
        self._started_ms = now_ms
        self._last_traffic_ms = now_ms

    def on_traffic(self, now_ms: int) -> None:
        """Record the time of a packet from a caller, or from a server on a flow."""
        self._last_traffic_ms = now_ms

    def is_complete(self, now_ms: int, open_work: OpenWork) -> bool:
        """Return whether the process can stop without interrupting any work."""
        if any(open_work) or self._started_ms is None:
            return False
        return now_ms - self._last_traffic_ms >= self._linger_ms

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether the shutdown has exceeded its timeout."""
        return self._started_ms is not None and (
            now_ms - self._started_ms >= self._timeout_ms
        )
