import asyncio
import logging

from sapphirerail_core.steering.model import OperatorState
from sapphirerail_node.steering.decision_log import DecisionLog
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.peer_service import PeerService
from sapphirerail_node.steering.ports import ServerRead
from sapphirerail_node.steering.store_service import RETRY_MAX_MS, StoreService
from sapphirerail_standins.steering_fleet import (
    SteeringFleet,
    configuration,
    server_entry,
)


class Store:
    """Answers at once; the first read of servers fails with a fault of ours."""

    def __init__(self):
        self.n_reads = 0

    async def read_servers(self):
        self.n_reads += 1
        if self.n_reads == 1:
            raise KeyError("a fault that nobody expects")
        return ServerRead(500, (server_entry(1),), 0)

    async def read_operator_state(self):
        return OperatorState(500, 500, configuration(), ())

    async def wait_operator_changes(self, after_revision, wait_ms):
        await asyncio.sleep(wait_ms / 1000)

    async def read_instances(self, is_fresh):
        return ()

    async def register(self, entry, ttl_ms):
        return 1

    async def renew(self, registration):
        return None

    async def unregister(self, registration):
        return None


def test_a_loop_that_fails_is_logged_and_begins_anew(caplog):
    async def scenario():
        engine = SteeringFleet().engine
        metrics = SteeringMetrics()
        peers = PeerService(engine, metrics)
        log = DecisionLog(logging.getLogger("test"))
        service = StoreService(Store(), engine, peers, log, metrics)
        service.start()
        await asyncio.sleep(RETRY_MAX_MS / 1000 + 0.2)
        await service.close()
        return engine

    engine = asyncio.run(scenario())
    assert len(list(engine.directory.servers())) == 1
    assert "a fault that nobody expects" in caplog.text
