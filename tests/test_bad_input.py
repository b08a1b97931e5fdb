"""Bytes that no honest sender writes, at every socket of an instance."""

import random

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_standins.scenario import run_scenario, wait_for_feed_progress
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until
from sapphirerail_transport.datagram_codec import encode_datagram
from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import UdpSocket, parse_address

SPEC = small_system(
    n_bookings=2, n_sketches=1, data_centres=("osu", "madina"), n_instances=1, seed=61
)
N_PAYLOADS = 3000
SOCKETS = ("caller_address", "server_address", "peer_address")


def _payload(draws):
    """Return random bytes, or a datagram with a few of its bytes changed."""
    if draws.random() < 0.2:
        return draws.randbytes(draws.randrange(9000))
    datagram = Datagram(
        kind=draws.choice(list(Kind)),
        service=draws.choice(["bookings", "sketches", "nobody", ""]),
        flow=draws.getrandbits(64),
        request=draws.getrandbits(31),
        attempt=draws.randrange(3),
        part=draws.randrange(5),
        n_parts=draws.randrange(5),
        caller=draws.choice(["", "127.0.0.1:9", "nowhere", "999.9.9.9:70000"]),
        body=draws.randbytes(draws.randrange(200)),
    )
    payload = bytearray(encode_datagram(datagram))
    for _ in range(draws.choice([0, 0, 1, 4])):
        payload[draws.randrange(len(payload))] = draws.randrange(256)
    return bytes(payload[: draws.choice([len(payload), draws.randrange(9000)])])


async def _refused(address, key, method, target, value):
    client = HttpClient(parse_address(address), Signer(key))
    try:
        await client.call(method, target, value)
    except HttpError as error:
        return error.status
    return 200


def test_bad_datagrams_and_calls_stop_nothing():
    async def scenario(system, workload):
        feeds = workload.open_feeds(6)
        await wait_for_feed_progress(feeds)
        draws = random.Random(61)
        sender = await UdpSocket.bind(("127.0.0.1", 0), lambda payload, _: None)
        instances = list(system.instances.running.values())
        for number in range(N_PAYLOADS):
            ready = draws.choice(instances).child.ready
            address = ready[draws.choice(SOCKETS)]
            sender.send(_payload(draws), parse_address(address))
            if number % 100 == 0:
                workload.send_transactions(1)
                await wait_until("a hold has an outcome", workload.has_all_outcomes)
        sender.close()
        api = instances[0].child.ready["api_address"]
        assert await _refused(api, "a wrong key", "GET", "/status", None) == 401
        for instance in instances:
            assert instance.child.is_running
            assert await system.instances.call(instance.name, "/status")
        await wait_for_feed_progress(feeds)
        late = workload.send_transactions(10)
        await wait_until("late holds have an outcome", workload.has_all_outcomes)
        assert all(transaction.is_answered for transaction in late)

    run_scenario(SPEC, scenario)
