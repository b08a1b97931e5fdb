"""Life cycle of the process, with hooks that close resources in reverse order."""

import logging
from collections.abc import Awaitable, Callable
from enum import Enum

__all__ = ["LifeCycle", "Phase"]

_log = logging.getLogger(__name__)

CloseHook = Callable[[], Awaitable[None]]


class Phase(Enum):
    """Phase of the process's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class LifeCycle:
    """Holds the current phase and the hooks that release resources."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._hooks: list[tuple[str, CloseHook]] = []

    def add_close_hook(self, name: str, hook: CloseHook) -> None:
        """Register a hook that releases a resource."""
        self._hooks.append((name, hook))

    async def close(self) -> None:
        """Run all hooks, last registered first; log a failing one and continue."""
        while self._hooks:
            name, hook = self._hooks.pop()
            try:
                await hook()
            except Exception:
                _log.exception("closing %s failed", name)
        self.phase = Phase.STOPPED
