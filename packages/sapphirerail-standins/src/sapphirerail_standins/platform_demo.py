"""Demonstrates the users' platform on loopback: flows under faults and changes."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from .platform_store import StoreFault
from .platform_system import PlatformSystem
from .waiting import wait_until

__all__ = ["main"]

N_FLOWS = 20
IN_FORCE_MS = 3_000

Step = Callable[[PlatformSystem, Sequence[Any]], Awaitable[None]]


async def _ask(flows: Sequence[Any]) -> list[bytes]:
    return await asyncio.gather(*(flow.send_request(b"hello") for flow in flows))


async def _serve(system: PlatformSystem, flows: Sequence[Any]) -> None:
    await _ask(flows)


async def _kill(system: PlatformSystem, flows: Sequence[Any]) -> None:
    before = await _ask(flows)
    victim = system.instances[0]
    victim.send_signal(signal.SIGKILL)
    system.in_rotation.remove(victim)
    _check(
        await _ask(flows) == before,
        "a flow changed its server after the instance was killed",
    )


async def _make_server_unresponsive(
    system: PlatformSystem, flows: Sequence[Any]
) -> None:
    system.servers[0].is_unresponsive = True
    new_flows = [await asyncio.wait_for(system.open(), 0.5) for _ in range(N_FLOWS)]
    await _ask(new_flows)
    system.servers[0].is_unresponsive = False


async def _make_store_unresponsive(
    system: PlatformSystem, flows: Sequence[Any]
) -> None:
    system.store.fault = StoreFault.UNRESPONSIVE
    await _ask([await system.open() for _ in range(N_FLOWS)])
    await _ask(flows)
    system.store.fault = StoreFault.NONE


async def _remove_route(system: PlatformSystem, flows: Sequence[Any]) -> None:
    await system.configure(2, has_route=False)

    async def is_refused() -> bool:
        try:
            await system.open()
        except ConnectionResetError:
            return True
        return False

    await wait_until("the removed route is refused", is_refused, IN_FORCE_MS)


STEPS: tuple[tuple[str, Step], ...] = (
    (f"{N_FLOWS} flows are answered", _serve),
    ("an instance is killed, its flows continue through another one", _kill),
    (
        "a server stops responding, new flows open at the other one",
        _make_server_unresponsive,
    ),
    ("the store stops responding, flows open and continue", _make_store_unresponsive),
    ("operators remove the route, it is refused within 3 s", _remove_route),
)


def _check(condition: bool, what: str) -> None:
    if not condition:
        raise AssertionError(what)


async def _run() -> int:
    async with PlatformSystem() as system:
        flows = [await system.open() for _ in range(N_FLOWS)]
        for description, step in STEPS:
            try:
                await step(system, flows)
            except (AssertionError, ConnectionError, TimeoutError) as error:
                sys.stdout.write(f"broken: {description}: {error}\n")
                return 1
            sys.stdout.write(f"ok: {description}\n")
    return 0


def main() -> int:
    """Run all steps; return 0 if all passed, else 1."""
    return asyncio.run(_run())


if __name__ == "__main__":
    sys.exit(main())
