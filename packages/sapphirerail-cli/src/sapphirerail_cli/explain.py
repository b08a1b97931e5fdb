"""Collects explanations of decisions from the reachable instances."""

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

__all__ = ["gather_explanation"]


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


async def gather_explanation(
    client: FleetClient,
    query: Query,
    instances: Sequence[ListedInstance],
    now_ms: Callable[[], int] = _now_ms,
) -> Explanation:
    """Query the decision journals of instances and merge the answers.

    Parameters
    ----------
    client : FleetClient
        Makes the calls, a bounded number at a time.
    query : Query
        Flow, request, server or revision to explain.
    instances : sequence of ListedInstance
        Instances to query.
    now_ms : callable
        Monotonic clock of the caller, in milliseconds.

    Returns
    -------
    Explanation
        Decisions in time order, and the instances that gave no answer.
    """
    gathered = await asyncio.gather(
        *(_query_instance(client, query, entry, now_ms) for entry in instances)
    )
    answers = [item for item in gathered if isinstance(item, TimedAnswer)]
    unreached = [item for item in gathered if isinstance(item, Unreached)]
    return merge_answers(query, answers, unreached)


async def _query_instance(
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
