"""Wire format of flow records: 21 bytes each, with a hash for the server's name."""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..plan.model import Plan
from ..rendezvous import hash_key
from ..types import FlowId, ServerId, TrafficClass

__all__ = ["RECORD_BYTES", "FlowRecord", "ServerCodes", "pack_records"]

_FORMAT = struct.Struct("<QQIB")
RECORD_BYTES = _FORMAT.size
_CODE_BITS = 46
_CODE_MASK = (1 << _CODE_BITS) - 1
_CLASS_BITS = 2
_AGE_UNIT_MS = 100
_AGE_MAX = 0xFF


class FlowRecord(NamedTuple):
    """Server and caller of a flow, as sent between instances.

    The service follows from the server, which serves only one. The age is the time
    since the sender last exchanged a datagram of the flow with the server.
    """

    flow: FlowId
    server: ServerId
    caller: int
    traffic_class: TrafficClass
    age_ms: int = 0


def _code(server: ServerId) -> int:
    return hash_key(server) & _CODE_MASK


def pack_records(records: Iterable[FlowRecord]) -> bytes:
    """Return the encoded records.

    A record is the flow (64 bits), the caller (48), the class (2), a hash of the
    server's name (46) and the age in tenths of a second (8).
    """
    return b"".join(map(_pack, records))


def _pack(record: FlowRecord) -> bytes:
    tail = record.caller << 48 | record.traffic_class << _CODE_BITS
    tail |= _code(record.server)
    age = min(record.age_ms // _AGE_UNIT_MS, _AGE_MAX)
    return _FORMAT.pack(record.flow, tail & 0xFFFFFFFFFFFFFFFF, tail >> 64, age)


class ServerCodes:
    """Maps the hashes in records to the servers of a plan, and decodes records.

    Parameters
    ----------
    plan : Plan
        The current plan.
    """

    def __init__(self, plan: Plan) -> None:
        self._servers = {_code(server): server for server in plan.servers}

    def unpack(self, payload: bytes) -> Iterator[FlowRecord | FlowId]:
        """Yield the decoded records of a payload.

        For a record whose server is not in the plan, yield only its flow.
        """
        whole = len(payload) - len(payload) % RECORD_BYTES
        for flow, low, high, age in _FORMAT.iter_unpack(payload[:whole]):
            tail = high << 64 | low
            server = self._servers.get(tail & _CODE_MASK)
            if server is None:
                yield FlowId(flow)
                continue
            number = tail >> _CODE_BITS & (1 << _CLASS_BITS) - 1
            known = number <= TrafficClass.UPLOAD
            kind = TrafficClass(number) if known else TrafficClass.FEED
            yield FlowRecord(FlowId(flow), server, tail >> 48, kind, age * _AGE_UNIT_MS)
