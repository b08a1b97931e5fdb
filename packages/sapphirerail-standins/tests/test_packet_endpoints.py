import asyncio

import pytest

from sapphirerail_standins.packet_endpoints import Flag, OpenFlow, Segment

FIRST = Segment(Flag.SYN, 0, 1, 20_001, 8443, 2, 100)
OPENED = Segment(Flag.SYN | Flag.ACK, 7, 2, 8443, 20_001, 1, 500, 101)


def answer(flags, seq, data=b""):
    return Segment(flags, 7, 2, 8443, 20_001, 1, seq, 106, data)


def send_request(*received):
    """Return what a flow accepts as the answer to its request."""

    async def exchange(_, is_answer):
        return next(segment for segment in received if is_answer(segment))

    return asyncio.run(OpenFlow(FIRST, OPENED, exchange).send_request(b"hello"))


def test_a_late_answer_to_the_opening_is_not_taken_for_an_answer_to_a_request():
    # A second server received the opening because the first took more than 25 ms.
    late = answer(Flag.SYN | Flag.ACK, 900)
    assert (
        send_request(late, answer(Flag.ACK, 501, b"server-1:hello"))
        == b"server-1:hello"
    )


def test_a_repeated_answer_is_not_taken_for_the_next_one():
    again = answer(Flag.ACK, 480, b"server-1:before")
    assert (
        send_request(again, answer(Flag.ACK, 501, b"server-1:hello"))
        == b"server-1:hello"
    )


def test_a_reset_ends_the_flow():
    with pytest.raises(ConnectionResetError):
        send_request(answer(Flag.RST, 0))
