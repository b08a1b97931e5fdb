"""The monotonic clock of the process, in milliseconds."""

import time

__all__ = ["monotonic_ms"]

_NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return a time in milliseconds that never runs backwards."""
    return time.monotonic_ns() // _NS_PER_MS
