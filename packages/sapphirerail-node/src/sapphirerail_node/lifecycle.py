"""Life-cycle hooks: resources are closed in the reverse order of their opening."""

import logging
from collections.abc import Awaitable, Callable
from enum import Enum

__all__ = ["LifeCycle", "Phase"]

_log = logging.getLogger(__name__)

CloseHook = Callable[[], Awaitable[None]]


class Phase(Enum):
    """Where the process is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class LifeCycle:
    """Keeps the phase and the hooks that clean up."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._hooks: list[tuple[str, CloseHook]] = []

    def on_close(self, name: str, hook: CloseHook) -> None:
        """Register a hook that releases a resource."""
        self._hooks.append((name, hook))

    async def close(self) -> None:
        """Run all hooks, last registered first; a failing one does not stop it."""
        while self._hooks:
            name, hook = self._hooks.pop()
            try:
                await hook()
            except Exception:
                _log.exception("closing %s failed", name)
        self.phase = Phase.STOPPED
