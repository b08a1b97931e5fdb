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


def test_rule_for_one_direction_leaves_the_other_alone():
    rules = FaultRules(seed=1)
    rule = FaultRule(direction=Direction.BACK, faults=LinkFaults(cut=True))
    rules.add(rule)
    assert rules.delays_ms("a", "s", Direction.FORWARD) == [0.0]
    assert rules.delays_ms("a", "s", Direction.BACK) == []


def test_random_faults_are_reproducible_by_seed():
    faults = LinkFaults(loss_share=0.3, duplicate_share=0.3, delay_ms=5, jitter_ms=9)
    sequences = []
    for _ in range(2):
        rules = FaultRules(seed=4)
        rules.add(FaultRule(faults=faults))
        sequences.append(
            [rules.delays_ms("a", "s", Direction.FORWARD) for _ in range(200)]
        )
    assert sequences[0] == sequences[1]
    assert {len(delays) for delays in sequences[0]} == {0, 1, 2}
    assert all(5 <= delay < 14 for delays in sequences[0] for delay in delays)


class LinkSetup:
    """A link between a caller's socket and an echo server."""

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


def test_datagrams_pass_in_both_directions_and_are_duplicated():
    async def scenario():
        async with LinkSetup() as setup:
            assert await setup.exchange(b"a") == b"a"
            rule = FaultRule(faults=LinkFaults(duplicate_share=1.0))
            await setup.admin.call("POST", "/faults", rule)
            assert await setup.exchange(b"b") == b"b"
            for _ in range(3):
                async with asyncio.timeout(5):
                    assert await setup.received.get() == b"b"

    asyncio.run(scenario())


def test_blackholed_flow_stays_dropped_while_a_new_flow_passes():
    async def scenario():
        async with LinkSetup() as setup:
            assert await setup.exchange(_payload(1)) == _payload(1)
            await setup.admin.call("POST", "/silence", {"relay": "echo"})
            setup.caller.send(_payload(1), setup.relay)
            assert await setup.exchange(_payload(2)) == _payload(2)
            assert setup.received.empty()

    asyncio.run(scenario())


def test_datagrams_pass_again_after_a_cut_is_removed():
    async def scenario():
        async with LinkSetup() as setup:
            assert await setup.exchange(b"a") == b"a"
            rule = FaultRule(relay="ech*", faults=LinkFaults(cut=True))
            await setup.admin.call("POST", "/faults", rule)
            setup.caller.send(b"lost", setup.relay)
            target = format_address(setup.echo.address)
            other = await setup.open(RelaySpec("other", target))
            setup.caller.send(b"passes", other)
            async with asyncio.timeout(5):
                assert await setup.received.get() == b"passes"
            await setup.admin.call("DELETE", "/faults")
            assert await setup.exchange(b"b") == b"b"

    asyncio.run(scenario())


async def _open_stream(setup):
    async def echo(reader, writer):
        while chunk := await reader.read(100):
            writer.write(chunk)
        writer.close()

    server = await asyncio.start_server(echo, *ANY)
    target = format_address(server.sockets[0].getsockname()[:2])
    relay = await setup.open(RelaySpec("stream", target, Protocol.TCP))
    return server, relay


def test_blackhole_drops_only_streams_that_are_open():
    async def scenario():
        async with LinkSetup() as setup:
            server, relay = await _open_stream(setup)
            reader, writer = await asyncio.open_connection(*relay)
            writer.write(b"one")
            async with asyncio.timeout(5):
                assert await reader.readexactly(3) == b"one"
            await setup.admin.call("POST", "/silence", {"relay": "stream"})
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
        async with LinkSetup() as setup:
            server, relay = await _open_stream(setup)
            reader, writer = await asyncio.open_connection(*relay)
            writer.write(b"one")
            async with asyncio.timeout(5):
                assert await reader.readexactly(3) == b"one"
            rule = FaultRule(relay="stream", faults=LinkFaults(cut=True))
            await setup.admin.call("POST", "/faults", rule)
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
