"""Reachability probe: a TCP connection without a request."""

import asyncio

from sapphirerail_core.steering import SteeringConfig
from sapphirerail_transport.udp import Address

__all__ = ["is_reachable"]


async def is_reachable(address: Address, config: SteeringConfig) -> bool:
    """Return whether one of two connection attempts succeeds before the timeout.

    The second attempt starts `probe_repeat_ms` after the first. A connection without a
    request takes no slot of a server and does not count as a call of a store.
    """
    attempts = [
        asyncio.create_task(_connect(address, 0)),
        asyncio.create_task(_connect(address, config.probe_repeat_ms)),
    ]
    try:
        return await _any_succeeds(attempts, config.probe_timeout_ms)
    finally:
        for task in attempts:
            task.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)


async def _connect(address: Address, delay_ms: int) -> bool:
    """Return whether a connection is established."""
    await asyncio.sleep(delay_ms / 1000)
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        # A refused connection or an unreachable host is a result of the probe.
        return False
    writer.close()
    return True


async def _any_succeeds(attempts: list[asyncio.Task[bool]], timeout_ms: int) -> bool:
    """Return whether any of the attempts succeeds before the timeout."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            for finished in asyncio.as_completed(attempts):
                if await finished:
                    return True
    except TimeoutError:
        return False
    return False
