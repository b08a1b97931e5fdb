import asyncio

from sapphirerail_cli.explain import gather_explanation
from sapphirerail_cli.fleet_client import FleetClient
from sapphirerail_core.explain import Query, answer_query
from sapphirerail_core.fleet import ListedInstance
from sapphirerail_core.journal import Journal, Reason
from sapphirerail_transport.http import HttpResponse, HttpServer
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import format_address

KEY = "a shared key"
CLOCKS_MS = {"osu-1": 5_000_000, "osu-2": 70}


def _handler(name):
    """Return the handler of an instance whose clock is fixed at its own time."""
    clock_ms = CLOCKS_MS[name]
    journal = Journal(name)
    journal.record(clock_ms - 60, Reason.FLOW_OPENED, flow=7)
    journal.record(clock_ms - 50, Reason.FLOW_OPENED, flow=8)

    async def handle(request):
        query = Query.from_text(request.query["subject"], request.query["id"])
        return HttpResponse(answer_query(query, name, journal.entries(), clock_ms))

    return handle


async def _gather(names, missing=()):
    servers = [HttpServer(_handler(name), Signer(KEY)) for name in names]
    entries = []
    for name, server in zip(names, servers, strict=True):
        address = format_address(await server.start(("127.0.0.1", 0)))
        entries.append(ListedInstance(name, "osu", "", address))
    for name in missing:
        server = HttpServer(_handler("osu-1"), Signer(KEY))
        address = format_address(await server.start(("127.0.0.1", 0)))
        await server.close()
        entries.append(ListedInstance(name, "osu", "", address))
    client = FleetClient(None, Signer(KEY))
    try:
        return await gather_explanation(client, Query.from_text("flow", "7"), entries)
    finally:
        for server in servers:
            await server.close()


def test_answers_are_merged_across_clock_offsets():
    found = asyncio.run(_gather(["osu-1", "osu-2"]))
    assert found.answered == ["osu-1", "osu-2"]
    assert {line.entry.flow for line in found.lines} == {7}
    ages_ms = [line.ago_ms for line in found.lines]
    assert max(ages_ms) - min(ages_ms) <= found.uncertainty_ms + 1


def test_unreachable_instance_is_named():
    found = asyncio.run(_gather(["osu-1"], missing=["osu-9"]))
    assert found.answered == ["osu-1"]
    assert [(u.instance, u.reason) for u in found.unreached] == [
        ("osu-9", "http.unreachable")
    ]
