"""Reachability probes: TCP connections without a request."""

import asyncio
from enum import Enum

from sapphirerail_core.steering import SteeringConfig
from sapphirerail_transport.udp import Address

__all__ = ["Reach", "is_any_answering", "probe"]


class Reach(Enum):
    """Result of a probe.

    A refused connection shows that the way to the host is open.
    """

    REACHED = "reached"
    REFUSED = "refused"
    UNANSWERED = "unreached"


async def probe(address: Address, config: SteeringConfig) -> Reach:
    """Return how an address answers one of two connection attempts.

    The second attempt starts `probe_repeat_ms` after the first. A connection without a
    request takes no slot of a server and does not count as a call of a store.
    """
    attempts = [
        asyncio.create_task(_connect(address, 0)),
        asyncio.create_task(_connect(address, config.probe_repeat_ms)),
    ]
    return await _first_result(attempts, {Reach.REACHED}, config.probe_timeout_ms)


async def is_any_answering(addresses: list[Address], timeout_ms: int) -> bool:
    """Return whether any host accepts or refuses a connection before the timeout."""
    attempts = [asyncio.create_task(_connect(address, 0)) for address in addresses]
    answers = {Reach.REACHED, Reach.REFUSED}
    return await _first_result(attempts, answers, timeout_ms) in answers


async def _connect(address: Address, delay_ms: int) -> Reach:
    await asyncio.sleep(delay_ms / 1000)
    try:
        _, writer = await asyncio.open_connection(*address)
    except ConnectionError:
        return Reach.REFUSED
    except OSError:
        # An unreachable host is a result of the probe.
        return Reach.UNANSWERED
    writer.close()
    return Reach.REACHED


async def _first_result(
    attempts: list[asyncio.Task[Reach]], wanted: set[Reach], timeout_ms: int
) -> Reach:
    """Return the first wanted result, else the last one before the timeout."""
    result = Reach.UNANSWERED
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            for finished in asyncio.as_completed(attempts):
                result = await finished
                if result in wanted:
                    break
    except TimeoutError:
        # The attempts that have not ended yet remain unanswered.
        pass
    finally:
        for task in attempts:
            task.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)
    return result
