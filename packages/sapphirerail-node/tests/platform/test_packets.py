import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.tag import ServerTag
from sapphirerail_node.platform.packets import PlatformPacketCodec
from sapphirerail_standins.steering_fleet import server_entry

CODEC = PlatformPacketCodec(8172)
# The examples in the platform's documentation.
OPENING = bytes.fromhex(
    "01 00 00 00 00 00 01 00 12 c6 41 9c bb 01 07 00 40 64 00 00"
    "44 33 22 11 00 00 00 00 d5 c3 b2 a1"
)
RESET = bytes.fromhex(
    "08 00 00 00 00 00 07 00 40 64 bb 01 41 9c 01 00 12 c6 00 00"
    "00 00 00 00 00 00 00 00 00 00 00 00"
)


def test_documented_opening_is_decoded():
    packet = CODEC.decode(OPENING)
    assert packet.is_opening
    assert packet.destination == 0xC6120001 << 16 | 443
    assert packet.sequence == 0x11223344
    assert (packet.tag, packet.n_data_bytes) == (0, 0)
    assert CODEC.format_flow(packet.flow) == "100.64.0.7:40001>198.18.0.1:443"


def test_reset_matches_documented_one():
    assert CODEC.encode_reset(CODEC.decode(OPENING)) == (RESET, ("100.64.0.7", 8172))


def test_reset_of_open_flow_repeats_acknowledged_sequence():
    datagram = bytearray(OPENING)
    datagram[0] = 2
    datagram[24:28] = (77_000).to_bytes(4, "little")
    reset, _ = CODEC.encode_reset(CODEC.decode(bytes(datagram)))
    assert int.from_bytes(reset[20:24], "little") == 77_000


def test_server_gets_its_identity_and_the_tagged_packet():
    server = server_entry(0x7F3A91C2, address="10.128.0.9:8080")
    datagram, address = CODEC.encode_for_server(
        CODEC.decode(OPENING), server, ServerTag(0x01020304)
    )
    assert address == ("10.128.0.9", 8080)
    assert datagram[:8] == bytes.fromhex("000000007f3a91c2")
    assert datagram[10:14] == bytes.fromhex("04030201")
    assert datagram[8:10] + bytes(4) + datagram[14:] == OPENING


def test_packet_without_new_tag_is_unchanged():
    datagram, _ = CODEC.encode_for_server(CODEC.decode(OPENING), server_entry(1), None)
    assert datagram[8:] == OPENING


@pytest.mark.parametrize(
    ("datagram", "code"),
    [
        (b"", "packet.short"),
        (OPENING[:-1], "packet.short"),
        (OPENING + b"x", "packet.length"),
    ],
)
def test_malformed_packets_are_rejected_with_a_code(datagram, code):
    with pytest.raises(InputError) as caught:
        CODEC.decode(datagram)
    assert caught.value.code == code


@given(st.binary(max_size=1_300))
def test_random_bytes_are_decoded_or_rejected(datagram):
    try:
        packet = CODEC.decode(datagram)
    except InputError:
        return
    assert packet.raw == datagram
    to_server, _ = CODEC.encode_for_server(packet, server_entry(1), None)
    assert to_server[8:] == datagram
    assert len(CODEC.encode_reset(packet)[0]) == 32
