import asyncio
import logging

from sapphirerail_core.steering.model import OperatorState
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_node.steering.decision_log import DecisionLog
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.peer_service import PeerService
from sapphirerail_node.steering.ports import StoreCallError, StoreRead
from sapphirerail_node.steering.store_service import RETRY_MS, StoreService
from sapphirerail_standins.steering_fleet import (
    SteeringFleet,
    configuration,
    server_entry,
)


class Store:
    """Store that answers at once; the first reads raise the given errors."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.calls = []

    async def read(self, known, after_revision):
        self.calls.append("read")
        if self.errors:
            raise self.errors.pop(0)
        state = OperatorState(500, 500, configuration(), ())
        return StoreRead(StoreSnapshot(state, (server_entry(1),), ()), {})

    async def register(self, entry, ttl_ms):
        self.calls.append("register")
        return 1

    async def renew(self, registration):
        return None

    async def unregister(self, registration):
        return None


def run(store, for_s):
    """Run the service for some seconds and return its engine."""

    async def scenario():
        engine = SteeringFleet().engine
        metrics = SteeringMetrics()
        peers = PeerService(engine, metrics)
        log = DecisionLog(logging.getLogger("test"))
        service = StoreService(store, ("127.0.0.1", 9), engine, peers, log, metrics)
        service.start()
        await asyncio.sleep(for_s)
        await service.close()
        return engine

    return asyncio.run(scenario())


def test_start_makes_one_read_and_one_registration():
    # Guards against more calls per start: with five (three reads, a watch and the
    # registration), starts caused most of the store's load on days with many of them.
    store = Store()
    engine = run(store, 0.2)
    assert sorted(store.calls) == ["read", "register"]
    assert len(list(engine.directory.servers())) == 1
    assert engine.routes.revision == 1


def test_failed_read_is_retried_soon():
    store = Store(StoreCallError("store.status_503", "nothing was done"))
    engine = run(store, 0.4)
    assert engine.is_ready()


def test_a_loop_that_fails_is_logged_and_begins_anew(caplog):
    store = Store(KeyError("an unexpected error"))
    engine = run(store, RETRY_MS / 1000 + 0.2)
    assert len(list(engine.directory.servers())) == 1
    assert "an unexpected error" in caplog.text
