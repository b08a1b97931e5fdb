"""HTTP API of an instance: its state and its metrics."""

from sapphirerail_core.errors import SapphirerailError
from sapphirerail_core.steering import SteeringEngine
from sapphirerail_core.steering.messages import StateSnapshot
from sapphirerail_transport.http import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
)
from sapphirerail_transport.udp import Address

from ..clock import monotonic_ms
from .metrics import SteeringMetrics

__all__ = ["StateApi", "fetch_snapshot"]

STATE_PATH = "/state"
METRICS_PATH = "/metrics"
FETCH_TIMEOUT_MS = 500


class StateApi:
    """Serves the state to other instances and metrics to collectors."""

    def __init__(self, engine: SteeringEngine, metrics: SteeringMetrics) -> None:
        self._engine = engine
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the state or the metrics."""
        if request.path == STATE_PATH:
            return HttpResponse(self._snapshot())
        return await self.handle_metrics(request)

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the metrics."""
        if request.path == METRICS_PATH:
            return HttpResponse(self._metrics.exposition())
        raise HttpError(404, "http.no_such_path", f"{request.path} does not exist")

    def _snapshot(self) -> StateSnapshot:
        age_ms = self._engine.refresh.age_ms(monotonic_ms())
        if age_ms is None:
            raise SapphirerailError("state.unknown", "this instance has no state yet")
        return StateSnapshot(
            picture=self._engine.store_snapshot(),
            instances=tuple(self._engine.peers.entries()),
            store_revision=self._engine.refresh.store_revision,
            age_ms=age_ms,
        )


async def fetch_snapshot(address: Address) -> StateSnapshot:
    """Fetch the state of another instance, or raise `HttpError`."""
    client = HttpClient(address, accepts_deflate=True)
    return await client.call_json(
        StateSnapshot,
        "GET",
        STATE_PATH,
        timeout_ms=FETCH_TIMEOUT_MS,
        is_restarted_by_data=True,
    )
