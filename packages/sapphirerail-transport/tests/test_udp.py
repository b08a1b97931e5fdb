import asyncio
import socket

from sapphirerail_transport.udp import UdpSocket


def test_a_datagram_that_fails_costs_no_other_one(caplog):
    # Guards against one message that stops a process, or the batch that it came with.
    received, n_batches = [], []

    def on_datagram(payload, sender):
        if payload.startswith(b"bad"):
            raise KeyError("an unexpected error")
        received.append(payload)

    async def scenario():
        udp = await UdpSocket.bind(
            ("127.0.0.1", 0), on_datagram, lambda: n_batches.append(1)
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for payload in (b"bad 1", b"one", b"bad 2", b"two"):
                sender.sendto(payload, udp.address)
        async with asyncio.timeout(5):
            while len(received) < 2:
                await asyncio.sleep(0.01)
        udp.close()

    asyncio.run(scenario())
    assert received == [b"one", b"two"]
    assert n_batches
    # The second failure within the interval is not logged.
    assert len(caplog.records) == 1
    assert "an unexpected error" in caplog.text
