import asyncio
import random

import msgspec
import pytest

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_standins.link import Link, Protocol, RelaySpec
from sapphirerail_standins.link_faults import (
    Direction,
    FaultRule,
    FaultRules,
    LinkFaults,
)
from sapphirerail_transport.datagram_codec import encode_datagram
from sapphirerail_transport.http import HttpClient
from sapphirerail_transport.udp import UdpSocket, format_address, parse_address

ANY = ("127.0.0.1", 0)


def test_last_matching_rule_applies():
    rules = FaultRules(seed=1)
    rules.add(FaultRule(relay="peer:*", faults=LinkFaults(cut=True)))
    rules.add(FaultRule(relay="peer:a", sender="*:7"))
    assert rules.faults("peer:a", "h:8", Direction.BACK).cut
    assert not rules.faults("peer:a", "h:7", Direction.BACK).cut
    assert not rules.faults("server:a", "h:8", Direction.BACK).cut


def test_one_way_rule():
    rules = FaultRules(seed=1)
    rule = FaultRule(direction=Direction.BACK, faults=LinkFaults(cut=True))
    rules.add(rule)
    assert rules.delays_ms("a", "s", Direction.FORWARD) == [0.0]
    assert rules.delays_ms("a", "s", Direction.BACK) == []


def test_random_faults_repeat_with_their_seed():
    faults = LinkFaults(loss_share=0.3, duplicate_share=0.3, delay_ms=5, jitter_ms=9)
    runs = []
    for _ in range(2):
        rules = FaultRules(seed=4)
        rules.add(FaultRule(faults=faults))
        runs.append([rules.delays_ms("a", "s", Direction.FORWARD) for _ in range(200)])
    assert runs[0] == runs[1]
    assert {len(delays) for delays in runs[0]} == {0, 1, 2}
    assert all(5 <= delay < 14 for delays in runs[0] for delay in delays)


class Bench:
    """A link between a caller's socket and an echo."""

    async def __aenter__(self):
        self.link = Link(seed=1)
        started = await self.link.start()
        self.admin = HttpClient(parse_address(started["admin_address"]))
        self.received = asyncio.Queue()
        self.echo = await UdpSocket.bind(
            ANY, lambda payload, sender: self.echo.send(payload, sender)
        )
        self.caller = await UdpSocket.bind(
            ANY, lambda payload, _: self.received.put_nowait(payload)
        )
        target = format_address(self.echo.address)
        self.relay = await self.open(RelaySpec("echo", target))
        return self

    async def __aexit__(self, *_):
        await self.link.close()
        self.echo.close()
        self.caller.close()

    async def open(self, spec):
        answer = await self.admin.call("POST", "/relays", spec)
        return parse_address(msgspec.json.decode(answer)["address"])

    async def exchange(self, payload):
        self.caller.send(payload, self.relay)
        async with asyncio.timeout(5):
            return await self.received.get()


def _payload(flow):
    return encode_datagram(Datagram(kind=Kind.KEEPALIVE, service="s", flow=flow))


def test_datagrams_pass_both_ways_and_are_duplicated():
    async def scenario():
        async with Bench() as bench:
            assert await bench.exchange(b"a") == b"a"
            rule = FaultRule(faults=LinkFaults(duplicate_share=1.0))
            await bench.admin.call("POST", "/faults", rule)
            assert await bench.exchange(b"b") == b"b"
            for _ in range(3):
                async with asyncio.timeout(5):
                    assert await bench.received.get() == b"b"

    asyncio.run(scenario())


def test_silent_flow_stays_silent_while_a_new_one_works():
    async def scenario():
        async with Bench() as bench:
            assert await bench.exchange(_payload(1)) == _payload(1)
            await bench.admin.call("POST", "/silence", {"relay": "echo"})
            bench.caller.send(_payload(1), bench.relay)
            assert await bench.exchange(_payload(2)) == _payload(2)
            assert bench.received.empty()

    asyncio.run(scenario())


def test_cut_and_mended():
    async def scenario():
        async with Bench() as bench:
            assert await bench.exchange(b"a") == b"a"
            rule = FaultRule(relay="ech*", faults=LinkFaults(cut=True))
            await bench.admin.call("POST", "/faults", rule)
            bench.caller.send(b"lost", bench.relay)
            target = format_address(bench.echo.address)
            other = await bench.open(RelaySpec("other", target))
            bench.caller.send(b"passes", other)
            async with asyncio.timeout(5):
                assert await bench.received.get() == b"passes"
            await bench.admin.call("DELETE", "/faults")
            assert await bench.exchange(b"b") == b"b"

    asyncio.run(scenario())


async def _open_stream(bench):
    async def echo(reader, writer):
        while piece := await reader.read(100):
            writer.write(piece)
        writer.close()

    server = await asyncio.start_server(echo, *ANY)
    target = format_address(server.sockets[0].getsockname()[:2])
    relay = await bench.open(RelaySpec("stream", target, Protocol.TCP))
    return server, relay


def test_stream_passes_and_silence_holds_for_open_connections_only():
    async def scenario():
        async with Bench() as bench:
            server, relay = await _open_stream(bench)
            reader, writer = await asyncio.open_connection(*relay)
            writer.write(b"one")
            async with asyncio.timeout(5):
                assert await reader.readexactly(3) == b"one"
            await bench.admin.call("POST", "/silence", {"relay": "stream"})
            writer.write(b"two")
            other_reader, other_writer = await asyncio.open_connection(*relay)
            other_writer.write(b"three")
            other_writer.write_eof()
            async with asyncio.timeout(5):
                assert await other_reader.read() == b"three"
            writer.close()
            server.close()

    asyncio.run(scenario())


def test_cut_ends_open_streams_and_refuses_new_ones():
    async def scenario():
        async with Bench() as bench:
            server, relay = await _open_stream(bench)
            reader, writer = await asyncio.open_connection(*relay)
            writer.write(b"one")
            async with asyncio.timeout(5):
                assert await reader.readexactly(3) == b"one"
            rule = FaultRule(relay="stream", faults=LinkFaults(cut=True))
            await bench.admin.call("POST", "/faults", rule)
            for attempt in range(2):
                if attempt:
                    reader, writer = await asyncio.open_connection(*relay)
                async with asyncio.timeout(5):
                    with pytest.raises(ConnectionError):
                        if not await reader.read():
                            raise ConnectionResetError
            server.close()

    asyncio.run(scenario())


def test_one_seed_gives_each_relay_its_own_sequence():
    rules = FaultRules(seed=4)
    rules.add(FaultRule(faults=LinkFaults(jitter_ms=9)))
    first = rules.delays_ms("a", "s", Direction.FORWARD)
    assert first != rules.delays_ms("b", "s", Direction.FORWARD)
    assert (
        random.Random("4:a:forward").random() != random.Random("4:b:forward").random()
    )
