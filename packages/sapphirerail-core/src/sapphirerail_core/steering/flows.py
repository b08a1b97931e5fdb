"""Recent flows of this instance; used for detection only, no flow depends on it."""

from .directory import KnownServer
from .packet import FlowKey

__all__ = ["Flow", "FlowTable"]


class Flow:
    """State that this instance observed of one flow.

    Parameters
    ----------
    server : KnownServer
        Server that its packets go to.
    opening_sequence : int
        Sequence number of its opening; tells a new flow from a retransmission.
    now_ms : int
        Time of its first packet.
    """

    __slots__ = (
        "acknowledged",
        "data_end",
        "is_open",
        "is_retryable",
        "opening_sequence",
        "seen_at_ms",
        "request_sent_at_ms",
        "server",
        "attempts",
    )

    def __init__(self, server: KnownServer, opening_sequence: int, now_ms: int) -> None:
        self.server = server
        self.opening_sequence = opening_sequence
        self.attempts: list[tuple[KnownServer, int]] = [(server, now_ms)]
        self.is_open = False
        self.is_retryable = False
        self.acknowledged = 0
        self.data_end = 0
        self.request_sent_at_ms = 0
        self.seen_at_ms = now_ms


class FlowTable:
    """Flows by key, in order of their opening; evicts the oldest when full.

    Parameters
    ----------
    n_flows_max : int
        Maximum number of flows.
    """

    def __init__(self, n_flows_max: int) -> None:
        self._n_flows_max = n_flows_max
        self._flows: dict[FlowKey, Flow] = {}
        # Returns the flow of a key, or None. Bound once because every packet calls it.
        self.get = self._flows.get
        self.n_evicted = 0

    def __len__(self) -> int:
        return len(self._flows)

    def add(self, key: FlowKey, flow: Flow) -> None:
        """Add a flow; replaces an older one with the same key."""
        self.remove(key)
        if len(self._flows) >= self._n_flows_max:
            self.remove(next(iter(self._flows)))
            self.n_evicted += 1
        self._flows[key] = flow
        flow.server.n_flows += 1

    def move(self, flow: Flow, server: KnownServer) -> None:
        """Move a flow, with its request in flight, to another server's counts."""
        if flow.server is server:
            return
        flow.server.n_flows -= 1
        if flow.request_sent_at_ms:
            flow.server.n_in_flight -= 1
            server.n_in_flight += 1
        server.n_flows += 1
        flow.server = server

    def remove(self, key: FlowKey) -> None:
        """Remove a flow; does nothing if the key is unknown."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            flow.server.n_flows -= 1
            self.end_request(flow)

    def begin_request(self, flow: Flow, now_ms: int) -> None:
        """Count a request of the flow as in flight, if none is yet."""
        if not flow.request_sent_at_ms:
            flow.request_sent_at_ms = now_ms
            flow.server.n_in_flight += 1

    def end_request(self, flow: Flow) -> None:
        """Stop counting the flow's request as in flight, if there is one."""
        if flow.request_sent_at_ms:
            flow.request_sent_at_ms = 0
            flow.server.n_in_flight -= 1

    def sweep(self, idle_ms: int, request_max_ms: int, now_ms: int) -> None:
        """Remove idle flows, and expire requests in flight after the maximum time."""
        for key, flow in list(self._flows.items()):
            if now_ms - flow.seen_at_ms > idle_ms:
                self.remove(key)
            elif (
                flow.request_sent_at_ms
                and now_ms - flow.request_sent_at_ms > request_max_ms
            ):
                self.end_request(flow)
