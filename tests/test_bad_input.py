"""Malformed datagrams and unauthenticated calls at every socket of an instance."""

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


def _payload(rng):
    """Return random bytes, or a datagram with a few of its bytes changed."""
    if rng.random() < 0.2:
        return rng.randbytes(rng.randrange(9000))
    datagram = Datagram(
        kind=rng.choice(list(Kind)),
        service=rng.choice(["bookings", "sketches", "nobody", ""]),
        flow=rng.getrandbits(64),
        request=rng.getrandbits(31),
        attempt=rng.randrange(3),
        part=rng.randrange(5),
        n_parts=rng.randrange(5),
        caller=rng.choice(["", "127.0.0.1:9", "nowhere", "999.9.9.9:70000"]),
        body=rng.randbytes(rng.randrange(200)),
    )
    payload = bytearray(encode_datagram(datagram))
    for _ in range(rng.choice([0, 0, 1, 4])):
        payload[rng.randrange(len(payload))] = rng.randrange(256)
    return bytes(payload[: rng.choice([len(payload), rng.randrange(9000)])])


async def _call_status(address, key, method, target, value):
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
        rng = random.Random(61)
        sender = await UdpSocket.bind(("127.0.0.1", 0), lambda payload, _: None)
        instances = list(system.instances.running.values())
        for number in range(N_PAYLOADS):
            ready = rng.choice(instances).child.ready
            address = ready[rng.choice(SOCKETS)]
            sender.send(_payload(rng), parse_address(address))
            if number % 100 == 0:
                workload.send_transactions(1)
                await wait_until(
                    "a transaction has an outcome", workload.has_all_outcomes
                )
        sender.close()
        api = instances[0].child.ready["api_address"]
        assert await _call_status(api, "a wrong key", "GET", "/status", None) == 401
        for instance in instances:
            assert instance.child.is_running
            assert await system.instances.call(instance.name, "/status")
        await wait_for_feed_progress(feeds)
        late = workload.send_transactions(10)
        await wait_until("late transactions have an outcome", workload.has_all_outcomes)
        assert all(transaction.is_answered for transaction in late)

    run_scenario(SPEC, scenario)
