"""A small plan and a plain placement for simulations of requests."""

from collections import Counter

from sapphirerail_core.datagram import Datagram
from sapphirerail_core.effects import Effect
from sapphirerail_core.plan.model import DataCentre, Plan, Server, Service
from sapphirerail_core.rendezvous import rank
from sapphirerail_core.types import (
    DataCentreId,
    FlowId,
    Revision,
    ServerId,
    ServerState,
    ServiceId,
    TenantId,
)

__all__ = ["RendezvousFlows", "SERVICE", "small_plan"]

SERVICE = ServiceId("holds")
NEW_WORK_STATES = (ServerState.ENTERING, ServerState.ACTIVE)


def small_plan(n_data_centres: int = 3, n_servers: int = 6, n_slots: int = 2) -> Plan:
    """Return a plan of one service over several data centres."""
    data_centres = [DataCentreId(f"dc{i}") for i in range(n_data_centres)]
    servers = [
        Server(
            server=ServerId(f"s{i}"),
            service=SERVICE,
            data_centre=data_centres[i % n_data_centres],
            address=f"10.0.0.{i}:9000",
            seat=i,
            n_slots=n_slots,
        )
        for i in range(n_servers)
    ]
    return Plan(
        revision=Revision(1),
        data_centres={name: DataCentre(name) for name in data_centres},
        services={SERVICE: Service(SERVICE, TenantId("adwinsa"))},
        servers={server.server: server for server in servers},
    )


class RendezvousFlows:
    """Rendezvous placement behind the dispatcher's flow port; keeps no flow records."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.n_opened: Counter[int] = Counter()

    def candidates(self, service: ServiceId, flow: FlowId) -> list[ServerId]:
        """Return the servers that accept new work, preferred first."""
        servers = self.plan.servers_by_service.get(service, ())
        names = [server.server for server in servers if server.state in NEW_WORK_STATES]
        return [ServerId(name) for name in rank(flow, names)]

    def lookup(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return None: no record is kept."""
        return None

    def opened(self, datagram: Datagram, server: ServerId, now_ms: int) -> list[Effect]:
        """Count the opening of a flow."""
        self.n_opened[datagram.flow] += 1
        return []

    def refused(self, datagram: Datagram, server: ServerId, now_ms: int) -> None:
        """Ignore the refusal of an opening: no record is kept."""
