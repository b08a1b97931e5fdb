"""Packets of the platform, and stand-ins for endpoints, clients and routers."""

import asyncio
import hashlib
import itertools
import json
import random
import socket
import struct
import time
import zlib

HEADER = struct.Struct("<BBIIHHIHIII")
SYN, ACK, RST, FIN = 1, 2, 8, 64
MASK = 0xFFFFFFFF
KEY = b"known to the two ends of a flow only"
HEARTBEAT_S = 1.2
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6)


def ip_number(host):
    """Return the number of an IPv4 address."""
    return int.from_bytes(socket.inet_aton(host), "big")


def ip_text(number):
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """One packet: its header fields by name, and its data."""

    __slots__ = ("flags", "echo", "dst", "sport", "dport", "src", "seq", "ack", "data")

    def __init__(self, flags, echo, dst, sport, dport, src, seq, ack, data=b""):
        self.flags, self.echo, self.dst, self.sport = flags, echo, dst, sport
        self.dport, self.src, self.seq, self.ack = dport, src, seq & MASK, ack & MASK
        self.data = data

    def sum(self):
        """Return the keyed sum, which is never 0."""
        flags = self.flags & 0x7F
        fields = (flags, self.dst, self.sport, self.dport, self.src, self.seq, self.ack)
        digest = zlib.crc32(KEY + repr(fields).encode() + self.data)
        return digest or 1

    def encode(self):
        """Return the packet as it is on the wire."""
        return (
            HEADER.pack(
                self.flags,
                0,
                self.echo,
                self.dst,
                self.sport,
                self.dport,
                self.src,
                len(self.data),
                self.seq,
                self.ack,
                self.sum(),
            )
            + self.data
        )

    @classmethod
    def decode(cls, raw):
        """Return a packet and whether its sum is right."""
        flags, _, echo, dst, sport, dport, src, _, seq, ack, given = HEADER.unpack_from(
            raw
        )
        packet = cls(flags, echo, dst, sport, dport, src, seq, ack, raw[HEADER.size :])
        return packet, given == packet.sum(), given


def udp_socket(host, port=0):
    """Return a bound, non-blocking UDP socket."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind((host, port))
    return bound


class Endpoint:
    """A server: registers itself, takes flows and runs each request once.

    A request is one packet of JSON: its id and how long to work on it. The answer is
    one packet that names the request and the endpoint.
    """

    def __init__(self, record, store, name, address, service, zone, client_port):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.identity = int(name.rpartition("-")[2], 16)
        self.client_port = client_port
        self.born_ms = int(time.time() * 1000)
        self.seq_no = 0
        self.state = "ready"
        self.after_beat = None
        # By flow: the next expected sequence number, and ours.
        self.half_open, self.flows = {}, {}
        self.answers = {}
        self.socket = udp_socket(*address)
        self.address = "{}:{}".format(*self.socket.getsockname())
        asyncio.get_running_loop().add_reader(self.socket, self._read)

    async def start(self):
        """Start, and serve until `close` is called."""
        host, port = self.socket.getsockname()
        self.health = await asyncio.start_server(self._on_health, host, port)
        self._beats = asyncio.create_task(self._beat())

    def close(self):
        """Stop and release everything that was started."""
        self._beats.cancel()
        self.health.close()
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()

    async def _beat(self):
        while True:
            self.register()
            if self.after_beat is not None:
                self.after_beat()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        """Write the entry to the store, as each heartbeat does."""
        self.seq_no += 1
        self.store.put(f"servers/{self.name}", self.entry())

    def entry(self):
        """Return the entry of this endpoint."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmupLeftMs": 0,
            "seqNo": self.seq_no,
            "born": self.born_ms,
        }

    async def _on_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _read(self):
        while True:
            try:
                datagram, _ = self.socket.recvfrom(2048)
            except BlockingIOError:
                return
            self._on_datagram(datagram)

    def _on_datagram(self, datagram):
        intended = int.from_bytes(datagram[:8], "big")
        if intended not in (0, self.identity):
            return
        packet, is_right, _ = Packet.decode(datagram[8:])
        if not is_right:
            self.record("unasked", endpoint=self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & (SYN | ACK) == SYN:
            ours = self.half_open.setdefault(key, random.getrandbits(32))
            if key not in self.flows:
                self._reply(packet, SYN | ACK, ours, packet.seq + 1)
            return
        if key not in self.flows:
            if key not in self.half_open or packet.ack != self.half_open[key] + 1:
                self._reply(packet, RST, packet.ack, 0)
                return
            self.flows[key] = [packet.seq, packet.ack, packet.echo]
            self.record("opened", endpoint=self.name, sport=packet.sport)
        flow = self.flows[key]
        flow[2] = packet.echo
        if packet.flags & RST:
            del self.flows[key]
        elif packet.data and packet.seq == flow[0]:
            flow[0] = (flow[0] + len(packet.data)) & MASK
            self._reply(packet, ACK, flow[1], flow[0])
            asyncio.create_task(self._run(key, packet))
        elif packet.data:
            answer = self.answers.get((key, packet.seq))
            if answer is not None:
                self._reply(packet, ACK, answer[0], flow[0], answer[1])
            else:
                self._reply(packet, ACK, flow[1], flow[0])

    async def _run(self, key, packet):
        request = json.loads(packet.data)
        self.record("ran", endpoint=self.name, id=request["id"])
        await asyncio.sleep(request["work_ms"] / 1000)
        data = json.dumps({"id": request["id"], "by": self.name}).encode()
        flow = self.flows.get(key)
        if flow is None:
            return
        self.answers[key, packet.seq] = flow[1], data
        self._reply(packet, ACK, flow[1], flow[0], data)
        flow[1] = (flow[1] + len(data)) & MASK

    def _reply(self, to, flags, seq, ack, data=b""):
        packet = Packet(
            flags, to.echo, to.src, to.dport, to.sport, to.dst, seq, ack, data
        )
        self.socket.sendto(packet.encode(), (ip_text(to.src), self.client_port))


class Router:
    """Selects a machine in rotation for each packet, by a steady hash."""

    def __init__(self, record, machines):
        self.record = record
        self.machines = machines
        self.misses = {machine.name: 2 for machine in machines}
        self._poll = asyncio.create_task(self._keep_polling())

    def close(self):
        """Stop and release everything that was started."""
        self._poll.cancel()

    def in_rotation(self):
        """Return the machines that get packets."""
        return [m for m in self.machines if self.misses[m.name] < 2]

    def choose(self, packet):
        """Return the machine that gets a packet."""
        ready = self.in_rotation() or self.machines
        flow = (packet.src, packet.sport, packet.dst, packet.dport)

        def score(machine):
            return hashlib.sha256(repr((flow, machine.name)).encode()).digest()

        return max(ready, key=score)

    async def _keep_polling(self):
        while True:
            await asyncio.gather(*(self._check(m) for m in self.machines))
            await asyncio.sleep(0.5)

    async def _check(self, machine):
        host, port = machine.ready
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET /readiness HTTP/1.1\r\nhost: x\r\n\r\n")
                is_ready = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            is_ready = False
        before = self.misses[machine.name]
        self.misses[machine.name] = 0 if is_ready else min(2, before + 1)
        if (before < 2) != (self.misses[machine.name] < 2):
            change = "in rotation" if is_ready else "out of rotation"
            self.record(change, machine=machine.name)


class FlowEndedError(Exception):
    """The flow was reset, or nothing answered before the deadline."""


class Client:
    """A client host: sends the packets of its flows through the router."""

    def __init__(self, record, router, host, port):
        self.record, self.router, self.host = record, router, host
        self.packet_port = port
        self.machine = None
        self.ports = itertools.count(20_000)
        self.flows = {}
        self.socket = udp_socket(host, port)
        asyncio.get_running_loop().add_reader(self.socket, self._read)

    def close(self):
        """Stop and release everything that was started."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()

    def _read(self):
        while True:
            try:
                raw, _ = self.socket.recvfrom(2048)
            except BlockingIOError:
                return
            packet, is_right, given = Packet.decode(raw)
            flow = self.flows.get(packet.dport)
            if flow is None:
                continue
            is_system_reset = packet.flags & RST and given == 0 and not packet.data
            if not (is_right or is_system_reset):
                self.record("mixed", sport=packet.dport)
                continue
            flow.on_packet(packet, is_system_reset)

    def send(self, packet):
        """Send a packet through the router."""
        # Some flows are sent directly to one machine.
        machine = self.machine or self.router.choose(packet)
        self.socket.sendto(packet.encode(), (machine.host, self.packet_port))

    async def open(self, route, ends_after_s=1.4):
        """Open a flow to a route, an address and a port."""
        flow = ClientFlow(self, next(self.ports), route)
        self.flows[flow.sport] = flow
        await flow.open(ends_after_s)
        return flow


class ClientFlow:
    """The client's side of one flow, with one request at a time."""

    def __init__(self, client, sport, route):
        self.client, self.sport, self.route = client, sport, route
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        self.ended_by = None
        self.opened = asyncio.Event()
        self.answered = asyncio.Event()
        self.answer = None

    def packet(self, flags, data=b""):
        """Return the next packet of the flow."""
        host, port = self.route
        return Packet(
            flags,
            self.echo,
            ip_number(host),
            self.sport,
            port,
            ip_number(self.client.host),
            self.seq,
            self.ack,
            data,
        )

    async def open(self, ends_after_s):
        """Send the opening and its copies until an endpoint accepts it."""
        for copy, wait_s in enumerate((0.2, 0.4, ends_after_s - 0.6)):
            first = self.packet(SYN)
            first.ack = copy
            self.client.send(first)
            try:
                await asyncio.wait_for(self.opened.wait(), wait_s)
                break
            except TimeoutError:
                continue
        if self.ended_by or not self.opened.is_set():
            raise FlowEndedError(self.ended_by or "no answer to the opening")
        self.is_open = True
        self.seq = (self.seq + 1) & MASK
        self.client.send(self.packet(ACK))

    def on_packet(self, packet, is_system_reset):
        """Handle a packet for this flow."""
        if packet.flags & RST:
            if self.ended_by is None:
                self.ended_by = "the system" if is_system_reset else "an endpoint"
                self.client.record(
                    "reset", sport=self.sport, by=self.ended_by, was_open=self.is_open
                )
            self.opened.set()
            self.answered.set()
        elif packet.flags & SYN:
            # Of two endpoints that accept the opening, the first one is acknowledged.
            if not self.opened.is_set():
                self.echo, self.ack = packet.echo, packet.seq + 1 & MASK
                self.opened.set()
        elif packet.seq == self.ack:
            self.echo = packet.echo
            if packet.data:
                self.ack = (self.ack + len(packet.data)) & MASK
                self.answer = json.loads(packet.data)
                self.answered.set()

    async def request(self, request_id, work_ms, deadline_s):
        """Send a request, repeat its packet, and return the answer."""
        if self.ended_by:
            raise FlowEndedError(self.ended_by)
        data = json.dumps({"id": request_id, "work_ms": work_ms}).encode()
        self.client.record("sent", id=request_id, sport=self.sport)
        self.answered.clear()
        ends_s = time.monotonic() + deadline_s
        packet = self.packet(ACK, data)
        for wait_s in itertools.chain(RETRANSMIT_S, itertools.repeat(1.6)):
            packet.echo = self.echo
            self.client.send(packet)
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.answered.wait(), min(wait_s, left_s))
                break
            except TimeoutError:
                continue
        if self.ended_by or not self.answered.is_set():
            why = self.ended_by or "the deadline"
            self.client.record("not answered", id=request_id, why=why)
            raise FlowEndedError(why)
        self.seq = (self.seq + len(data)) & MASK
        self.client.record("answered", id=request_id, by=self.answer["by"])
        self.client.send(self.packet(ACK))
        return self.answer
