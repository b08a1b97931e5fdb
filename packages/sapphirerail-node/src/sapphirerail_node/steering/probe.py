"""Whether an address can be reached: a connection without a request."""

import asyncio

from sapphirerail_core.steering import SteeringConfig
from sapphirerail_transport.udp import Address

__all__ = ["is_reachable"]


async def is_reachable(address: Address, config: SteeringConfig) -> bool:
    """Return whether one of two connections, one a little later, comes about in time.

    A connection without a request takes no slot of a server and is no call of a store.
    """
    tries = [
        asyncio.create_task(_connect(address, 0)),
        asyncio.create_task(_connect(address, config.probe_repeat_ms)),
    ]
    try:
        return await _any_of(tries, config.probe_timeout_ms)
    finally:
        for task in tries:
            task.cancel()
        await asyncio.gather(*tries, return_exceptions=True)


async def _connect(address: Address, wait_ms: int) -> bool:
    """Return whether a connection comes about."""
    await asyncio.sleep(wait_ms / 1000)
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        # Refused or unreachable: that is the answer of the probe.
        return False
    writer.close()
    return True


async def _any_of(tries: list[asyncio.Task[bool]], timeout_ms: int) -> bool:
    """Return whether any of the tries succeeds in time."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            for finished in asyncio.as_completed(tries):
                if await finished:
                    return True
    except TimeoutError:
        return False
    return False
