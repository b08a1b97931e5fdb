"""Monotonic clock in milliseconds."""

import time

__all__ = ["monotonic_ms"]

_NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return time.monotonic_ns() // _NS_PER_MS
