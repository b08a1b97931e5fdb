"""Decides when a graceful shutdown is complete."""

from typing import NamedTuple

__all__ = ["OpenWork", "Shutdown"]


class OpenWork(NamedTuple):
    """What a shutdown waits for."""

    n_in_flight: int = 0
    """Requests and openings without an outcome."""
    n_unacknowledged: int = 0
    """Records of flows that no other instance has acknowledged."""


class Shutdown:
    """Waits for open work, then for quiet on the callers' side.

    Each flow needs another instance that has taken it over, or it would be mute until
    its caller's next packet; an acknowledgement may be lost, so this takes a while.

    The fabric goes on spraying at a leaving instance until its own list has caught
    up, and a backend server goes on answering through it until another instance has
    become the way back. So the process serves as a plain forwarder until neither was
    heard for the linger time.

    Parameters
    ----------
    linger_ms : int
        Quiet time after the last packet of a caller or of a flow.
    timeout_ms : int
        Longest shutdown.

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
        self._began_ms: int | None = None
        self._heard_ms = 0

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown was asked for."""
        return self._began_ms is not None

    def begin(self, now_ms: int) -> None:
        """Start the shutdown."""
        self._began_ms = now_ms
        self._heard_ms = now_ms

    def on_traffic(self, now_ms: int) -> None:
        """Note a packet of a caller, or of a flow from its server."""
        self._heard_ms = now_ms

    def is_complete(self, now_ms: int, open_work: OpenWork) -> bool:
        """Return whether the process may end without cutting anything."""
        if any(open_work) or self._began_ms is None:
            return False
        return now_ms - self._heard_ms >= self._linger_ms

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether the longest shutdown has passed."""
        return self._began_ms is not None and (
            now_ms - self._began_ms >= self._timeout_ms
        )
