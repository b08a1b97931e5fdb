"""Instances that read one store and update each other, in any order of steps."""

import base64
from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sapphirerail_core.steering.model import InstanceEntry, OperatorState
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_node.platform.items import ItemReader, StoreItem
from sapphirerail_node.steering import peer_service
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.peer_service import (
    N_UPDATES_PER_CHANGE,
    PeerService,
)
from sapphirerail_standins.steering_fleet import SteeringFleet

READER, LATE = range(2)
ADDRESS = ("10.0.0.1", 7720)
EMPTY = StoreSnapshot(OperatorState(0, 0, None, ()), (), ())
ROUTE = {
    "name": "feed",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "kind": "safe",
    "service": "s1",
}
SERVER = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "osu",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "seqNo": 4,
    "born": 1_790_200_568_448,
}


class Store:
    """A store with its whole history; revisions start at 1."""

    def __init__(self):
        self.items = []

    @property
    def revision(self):
        return len(self.items)

    def write(self, key, value):
        """Write a value, raw bytes or JSON; None deletes the key."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        encoded = "" if value is None else base64.b64encode(raw).decode()
        item = StoreItem(key, self.revision + 1, encoded, value is None)
        self.items.append(item)

    def read(self, known, after_revision, revision):
        """Return the contents at a revision, from what was known at an earlier one."""
        reader = ItemReader(known)
        newest = {item.key: item for item in self.items[after_revision:revision]}
        for item in newest.values():
            reader.apply(item)
        return reader.snapshot(revision)

    def at(self, revision):
        """Return the contents at a revision, from all of the history."""
        return self.read(EMPTY, 0, revision)


@dataclass
class Read:
    """A read in progress, with the contents at the revision at which it took effect."""

    known: StoreSnapshot
    after_revision: int
    began_ms: int
    effective_revision: int | None = None


@dataclass
class Instance:
    """An instance without sockets, with the messages that are on the way to it."""

    service: PeerService
    read: Read | None = None
    inbox: list[bytes] = field(default_factory=list)
    newest_configuration: int = 0

    @property
    def engine(self):
        return self.service._engine


class UpdateMachine(RuleBasedStateMachine):
    """Whatever is lost, late or overtaken: no revision without all changes up to it."""

    def __init__(self):
        super().__init__()
        self.now_ms = 1_000
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(peer_service, "monotonic_ms", lambda: self.now_ms)
        self.store = Store()
        self.version = 0
        self.configure(routes=1)
        entries = [
            InstanceEntry(f"osu-{n}", "osu", f"10.0.0.{n + 1}:7720")
            for n in (READER, LATE)
        ]
        self.instances = []
        for entry in entries:
            engine = SteeringFleet().engine
            engine.peers.local = entry
            service = PeerService(engine, SteeringMetrics())
            service._socket = self
            self.instances.append(Instance(service))

    def teardown(self):
        self.patch.undo()

    def send(self, payload, address):
        """Put a message on its way to an instance."""
        host = address[0]
        self.instances[int(host.rpartition(".")[2]) - 1].inbox.append(payload)

    @initialize(has_read=st.booleans())
    def start(self, has_read):
        """Start with instances that have read the store, or that are new."""
        if has_read:
            self.all_read()

    # Writers of the store.

    @rule(routes=st.integers(0, 2))
    def configure(self, routes):
        self.version += 3
        listed = [ROUTE | {"prefix": f"/{8443 + n}/"} for n in range(routes)]
        value = {
            "version": self.version,
            "routes": listed,
            "services": [{"name": "s1"}],
            "limits": {"idleTimeoutMs": 15_000},
        }
        self.store.write("op/config", value)

    @rule(zone=st.sampled_from(["osu", "tema"]), is_out=st.booleans())
    def evacuate(self, zone, is_out):
        self.store.write(f"op/evacuate/{zone}", {} if is_out else None)

    @rule(
        change=st.sampled_from(
            [{}, {"state": "draining"}, {"slots": 9}, {"zone": "tema"}, b"\xff", None]
        ),
    )
    def announce(self, change):
        value = SERVER | change if isinstance(change, dict) else change
        self.store.write("servers/i-00000001", value)

    # The reader is always in touch; the late instance reads now and then.

    @rule(way=st.sampled_from(["told", "delayed", "lost"]))
    def reader_reads(self, way):
        """Read; an update is lost with all others that contain its change."""
        for _ in range(N_UPDATES_PER_CHANGE + 1 if way == "lost" else 1):
            self.now_ms += 200
            self.begin_read(READER)
            self.end_read(READER)
            told = self.late.inbox.pop() if self.late.inbox else None
            if way == "delayed" and told is not None:
                self.late.inbox.append(told)
            elif way == "told" and told is not None:
                self.late.service._on_datagram(told, ADDRESS)

    @precondition(lambda self: self.late.inbox)
    @rule(position=st.integers(0, 9))
    def deliver_delayed(self, position):
        payload = self.late.inbox.pop(position % len(self.late.inbox))
        self.late.service._on_datagram(payload, ADDRESS)

    @precondition(lambda self: self.late.read is None)
    @rule(is_effective=st.booleans())
    def late_begins_to_read(self, is_effective):
        """Begin a read, which takes effect now or only at its end."""
        self.begin_read(LATE)
        if not is_effective:
            self.late.read.effective_revision = None

    @precondition(lambda self: self.late.read is not None)
    @rule()
    def late_has_read(self):
        self.end_read(LATE)

    @property
    def late(self):
        return self.instances[LATE]

    def begin_read(self, number):
        instance = self.instances[number]
        refresh = instance.engine.refresh
        is_first = refresh.read_at_ms() is None
        instance.read = Read(
            EMPTY if is_first else instance.engine.store_snapshot(),
            0 if is_first else refresh.store_revision,
            self.now_ms,
            self.store.revision,
        )

    def end_read(self, number):
        instance = self.instances[number]
        engine, read = instance.engine, instance.read
        instance.read = None
        revision = read.effective_revision or self.store.revision
        result = self.store.read(read.known, read.after_revision, revision)
        is_first = engine.refresh.read_at_ms() is None
        previous = None if is_first else engine.store_snapshot()
        for other in self.instances:
            # Load reports arrive all the while.
            if other is not instance:
                engine.peers.on_contact(other.engine.peers.local, self.now_ms)
        if engine.refresh.on_read(revision, read.began_ms):
            engine.apply_store_snapshot(result, read.began_ms)
            instance.service.publish_changes(previous)

    # What must hold.

    @invariant()
    def servers_are_those_of_the_revision(self):
        for engine in (instance.engine for instance in self.instances):
            if engine.refresh.read_at_ms() is None:
                continue
            expected = self.store.at(engine.refresh.store_revision)
            known = engine.store_snapshot()
            assert set(known.servers) == set(expected.servers)
            assert set(known.unreadable_servers) == set(expected.unreadable_servers)

    @invariant()
    def operators_changes_up_to_the_revision_are_in_force(self):
        for instance in self.instances:
            engine = instance.engine
            state = engine.routes.state
            for revision in (state.store_revision, engine.refresh.store_revision):
                if revision == 0:
                    continue
                expected = self.store.at(revision).operator_state
                assert engine.routes.revision >= expected.configuration.revision
                later = range(revision, self.store.revision + 1)
                assert set(state.evacuated) in [
                    set(self.store.at(r).operator_state.evacuated) for r in later
                ]

    @invariant()
    def configurations_never_revert(self):
        for instance in self.instances:
            assert instance.engine.routes.revision >= instance.newest_configuration
            instance.newest_configuration = instance.engine.routes.revision

    @rule()
    def all_read(self):
        """Each instance that reads once more has the newest state."""
        for number, instance in enumerate(self.instances):
            if instance.read is not None:
                self.end_read(number)
            self.now_ms += 1
            self.begin_read(number)
            self.end_read(number)
            expected = self.store.at(self.store.revision)
            known = instance.engine.store_snapshot()
            assert known.digest() == expected.digest()
            assert known.operator_state.configuration == (
                expected.operator_state.configuration
            )


TestUpdateMachine = UpdateMachine.TestCase
TestUpdateMachine.settings = settings(
    derandomize=True, max_examples=400, stateful_step_count=30, deadline=None
)
