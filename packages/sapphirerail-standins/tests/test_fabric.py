import asyncio
import random

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_standins.clock import VirtualClock
from sapphirerail_standins.fabric import Fabric, Spray, SprayTarget
from sapphirerail_transport.datagram_codec import decode_datagram, encode_datagram
from sapphirerail_transport.http import HttpClient
from sapphirerail_transport.udp import UdpSocket, format_address, parse_address

TARGETS = [SprayTarget("n1", "127.0.0.1:1"), SprayTarget("n2", "127.0.0.1:2")]


def test_spray_reaches_all_targets_and_is_reproducible_by_seed():
    choices = []
    for _ in range(2):
        spray = Spray(VirtualClock(), random.Random(5))
        spray.set_targets(TARGETS)
        choices.append([spray.choose().instance for _ in range(50)])
    assert choices[0] == choices[1]
    assert set(choices[0]) == {"n1", "n2"}


def test_removed_instance_receives_datagrams_until_the_stale_time_expires():
    clock = VirtualClock()
    spray = Spray(clock, random.Random(5), stale_ms=100)
    spray.set_targets(TARGETS)
    spray.set_targets(TARGETS[:1])
    assert {spray.choose().instance for _ in range(50)} == {"n1", "n2"}
    clock.run_until(100)
    assert {spray.choose().instance for _ in range(50)} == {"n1"}
    spray.stale_ms = 0
    spray.set_targets([])
    assert spray.choose() is None


def test_fabric_sets_the_caller_address_and_forwards_malformed_bytes():
    async def scenario():
        received = asyncio.Queue()
        instance = await UdpSocket.bind(
            ("127.0.0.1", 0), lambda payload, _: received.put_nowait(payload)
        )
        caller = await UdpSocket.bind(("127.0.0.1", 0), lambda payload, _: None)
        fabric = Fabric()
        addresses = await fabric.start()
        target = SprayTarget("n1", format_address(instance.address))
        client = HttpClient(parse_address(addresses["admin_address"]))
        await client.call("PUT", "/targets", {"targets": [target]})
        datagram = Datagram(kind=Kind.OPEN, service="s", flow=1, caller="forged")
        for payload in (encode_datagram(datagram), b"junk"):
            caller.send(payload, parse_address(addresses["address"]))
            async with asyncio.timeout(5):
                payload_out = await received.get()
            if payload == b"junk":
                assert payload_out == payload
            else:
                caller_address = decode_datagram(payload_out).caller
                assert caller_address == format_address(caller.address)
        await fabric.close()
        instance.close()
        caller.close()

    asyncio.run(scenario())
