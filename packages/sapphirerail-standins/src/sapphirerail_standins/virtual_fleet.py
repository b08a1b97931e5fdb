"""Runs many memberships on an in-memory network with a virtual clock."""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from sapphirerail_core.effects import Effect, Message, SendToPeer
from sapphirerail_core.fleet import FleetConfig, ListedInstance, Membership
from sapphirerail_core.fleet.messages import Alive, MemberRecord, MembersPage
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.message_codec import SHORT_TAG_BYTES

__all__ = ["Link", "Traffic", "VirtualFleet", "instance_names"]

TICK_MS = 100
UDP_HEADER_BYTES = 28


@dataclass
class Link:
    """Loss, duplication, delay and blocking of messages in the network."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay_ms: int = 1
    jitter_ms: int = 0
    blocks: Callable[[InstanceId, InstanceId], bool] = lambda sender, target: False


@dataclass
class Traffic:
    """Messages and bytes that one instance sent, and the bytes of member pages."""

    n_messages: int = 0
    n_bytes: int = 0
    n_page_bytes: int = 0


@dataclass(order=True)
class _Event:
    """The arrival of a message, or a tick if there is no message."""

    at_ms: int
    number: int
    target: InstanceId = field(compare=False)
    epoch: int = field(compare=False)
    sender: InstanceId | None = field(compare=False, default=None)
    message: Message | None = field(compare=False, default=None)


def instance_names(data_centre: DataCentreId, n_instances: int) -> list[InstanceId]:
    """Return names for the instances of a data centre."""
    return [InstanceId(f"{data_centre}-{n}") for n in range(n_instances)]


class VirtualFleet:
    """Runs memberships against each other without sockets or a real clock.

    Parameters
    ----------
    sizes : dict of DataCentreId to int
        Number of instances in each data centre at the start.
    config : FleetConfig
        Settings of all memberships.
    seed : int
        Seed of losses, delays and the random choices of the memberships.
    know_each_other : bool
        Whether the instances know each other from the start.
    """

    def __init__(
        self,
        sizes: dict[DataCentreId, int],
        config: FleetConfig | None = None,
        seed: int = 0,
        *,
        know_each_other: bool = False,
    ) -> None:
        self.config = config or FleetConfig()
        self.link = Link()
        self.now_ms = 1000
        self.members: dict[InstanceId, Membership] = {}
        self.journals: dict[InstanceId, Journal] = {}
        self.traffic: dict[InstanceId, Traffic] = {}
        self.listing: list[ListedInstance] = []
        self._random_state = random.Random(seed)
        self._encoder = msgspec.msgpack.Encoder()
        self._events: list[_Event] = []
        self._n_events = 0
        self._epochs: dict[InstanceId, int] = {}
        self._paused_until_ms: dict[InstanceId, int] = {}
        self.list_instances(sizes)
        for entry in self.listing:
            self.start(entry.instance, entry.data_centre, listed=not know_each_other)
        if know_each_other:
            self._exchange_members()

    def list_instances(self, sizes: dict[DataCentreId, int]) -> None:
        """Set the platform's list to a number of instances per data centre."""
        self.listing = [
            self._entry(name, data_centre)
            for data_centre, n_instances in sizes.items()
            for name in instance_names(data_centre, n_instances)
        ]

    def list_single(self, record: MemberRecord) -> None:
        """Set the platform's list to a single instance."""
        self.listing = [
            ListedInstance(
                record.instance,
                record.data_centre,
                record.peer_address,
                record.api_address,
            )
        ]

    def traffic_of(self, name: InstanceId) -> Traffic:
        """Return the traffic that an instance has sent so far."""
        return self.traffic.setdefault(name, Traffic())

    def add(self, name: InstanceId, membership: Membership) -> None:
        """Add an existing membership with its state."""
        self._epochs[name] = 1
        self.members[name] = membership
        self.traffic_of(name)
        self._push(self.now_ms, name)

    def start(
        self, name: InstanceId, data_centre: DataCentreId, *, listed: bool = True
    ) -> Membership:
        """Start an instance, or restart it without state at a higher incarnation."""
        epoch = self._epochs.get(name, 0) + 1
        self._epochs[name] = epoch
        self._paused_until_ms.pop(name, None)
        journal = Journal(name)
        entry = self._entry(name, data_centre)
        membership = Membership.from_config(
            self.config,
            name,
            data_centre,
            self.now_ms * 1000 + epoch,
            random.Random(self._random_state.randrange(1 << 32)),
            journal,
            peer_address=entry.peer_address,
            api_address=entry.api_address,
            now_ms=self.now_ms,
        )
        self.members[name] = membership
        self.journals[name] = journal
        self.traffic_of(name)
        if listed:
            self._send(name, membership.on_listing(self.listing, self.now_ms))
        phase_ms = self._random_state.randrange(TICK_MS)
        self._push(self.now_ms + phase_ms, name)
        return membership

    def kill(self, name: InstanceId) -> None:
        """Stop an instance without notice, as a crash does."""
        del self.members[name]
        self._epochs[name] += 1

    def leave(self, name: InstanceId) -> None:
        """Stop an instance in the planned way."""
        self._send(name, self.members[name].leave(self.now_ms))
        self.kill(name)

    def pause(self, name: InstanceId, duration_ms: int) -> None:
        """Pause an instance: it neither ticks nor receives for a duration."""
        self._paused_until_ms[name] = self.now_ms + duration_ms

    def run(self, duration_ms: int) -> None:
        """Advance the clock; deliver due messages and run due ticks."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0].at_ms <= until_ms:
            self._step(heapq.heappop(self._events))
        self.now_ms = until_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> int:
        """Advance the clock until a condition holds.

        Returns
        -------
        int
            Milliseconds that passed.

        Raises
        ------
        TimeoutError
            If the condition does not hold within the limit.
        """
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                raise TimeoutError(f"condition does not hold after {limit_ms} ms")
            self.run(TICK_MS // 4)
        return self.now_ms - start_ms

    def deliver_listing(self) -> None:
        """Deliver the platform's list to every instance."""
        for name, membership in list(self.members.items()):
            self._send(name, membership.on_listing(self.listing, self.now_ms))

    def of(self, data_centre: DataCentreId) -> list[InstanceId]:
        """Return the running instances of a data centre, sorted."""
        return sorted(
            name
            for name, membership in self.members.items()
            if membership.self_data_centre == data_centre
        )

    def _exchange_members(self) -> None:
        records = [
            Alive(
                MemberRecord(
                    entry.instance,
                    entry.data_centre,
                    entry.peer_address,
                    entry.api_address,
                    self.now_ms * 1000 + 1,
                )
            )
            for entry in self.listing
        ]
        page = MembersPage(tuple(records), InstanceId(""), 0)
        for name, membership in self.members.items():
            membership.on_message(name, page, self.now_ms)

    def _entry(self, name: InstanceId, data_centre: DataCentreId) -> ListedInstance:
        host_number = sum(name.encode()) % 250
        return ListedInstance(
            name,
            data_centre,
            f"10.1.2.{host_number}:7001",
            f"10.1.2.{host_number}:7002",
        )

    def _push(
        self,
        at_ms: int,
        target: InstanceId,
        sender: InstanceId | None = None,
        message: Message | None = None,
    ) -> None:
        self._n_events += 1
        epoch = self._epochs.get(target, 0)
        event = _Event(at_ms, self._n_events, target, epoch, sender, message)
        heapq.heappush(self._events, event)

    def _step(self, event: _Event) -> None:
        self.now_ms = max(self.now_ms, event.at_ms)
        membership = self.members.get(event.target)
        if membership is None:
            return
        if event.message is None and event.epoch != self._epochs[event.target]:
            return
        paused_until_ms = self._paused_until_ms.get(event.target, 0)
        if self.now_ms < paused_until_ms:
            event.at_ms = paused_until_ms
            heapq.heappush(self._events, event)
            return
        if event.message is None or event.sender is None:
            effects = membership.tick(self.now_ms)
            self._push(self.now_ms + TICK_MS, event.target)
        else:
            effects = membership.on_message(event.sender, event.message, self.now_ms)
        self._send(event.target, effects)

    def _send(self, sender: InstanceId, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self._send_one(sender, effect)

    def _send_one(self, sender: InstanceId, effect: SendToPeer) -> None:
        if self.members[sender].peer_address(effect.instance) is None:
            return
        traffic = self.traffic_of(sender)
        traffic.n_messages += 1
        n_bytes = self._wire_bytes(sender, effect.message)
        traffic.n_bytes += n_bytes
        if isinstance(effect.message, MembersPage):
            traffic.n_page_bytes += n_bytes
        link = self.link
        if link.blocks(sender, effect.instance):
            return
        n_copies = 1 + (self._random_state.random() < link.duplicates)
        for _ in range(n_copies):
            if self._random_state.random() < link.loss:
                continue
            delay_ms = link.delay_ms
            if link.jitter_ms:
                delay_ms += self._random_state.randrange(link.jitter_ms)
            at_ms = self.now_ms + delay_ms
            self._push(at_ms, effect.instance, sender, effect.message)

    def _wire_bytes(self, sender: InstanceId, message: Message) -> int:
        raw = self._encoder.encode(message)
        return len(raw) + len(sender) + 2 + SHORT_TAG_BYTES + UDP_HEADER_BYTES
