"""Gathers explanations from the instances that can be reached."""

import asyncio
import time
from collections.abc import Callable, Sequence
from urllib.parse import urlencode

from sapphirerail_core.errors import SapphirerailError
from sapphirerail_core.explain import (
    Answer,
    Explanation,
    Query,
    TimedAnswer,
    Unreached,
    merge_answers,
)
from sapphirerail_core.fleet.listing import ListedInstance

from .fleet_client import FleetClient

__all__ = ["gather"]


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


async def gather(
    client: FleetClient,
    query: Query,
    instances: Sequence[ListedInstance],
    now_ms: Callable[[], int] = _now_ms,
) -> Explanation:
    """Ask instances what they decided, and merge their answers.

    Parameters
    ----------
    client : FleetClient
        Makes the calls, a bounded number at a time.
    query : Query
        What is asked.
    instances : sequence of ListedInstance
        Whom to ask.
    now_ms : callable
        The asker's clock.

    Returns
    -------
    Explanation
        The decisions in time order, and who gave no answer.
    """
    gathered = await asyncio.gather(
        *(_ask(client, query, entry, now_ms) for entry in instances)
    )
    answers = [item for item in gathered if isinstance(item, TimedAnswer)]
    unreached = [item for item in gathered if isinstance(item, Unreached)]
    return merge_answers(query, answers, unreached)


async def _ask(
    client: FleetClient,
    query: Query,
    entry: ListedInstance,
    now_ms: Callable[[], int],
) -> TimedAnswer | Unreached:
    fields = urlencode({"subject": query.subject.value, "id": query.id})
    sent_ms = now_ms()
    try:
        answer = await client.get(entry, f"/explain?{fields}", Answer)
    except SapphirerailError as error:
        return Unreached(entry.instance, error.code)
    return TimedAnswer(answer, sent_ms, now_ms())
