"""Rules for removing services and data centres, and for reusing their names."""

from ..types import DataCentreState
from .model import DataCentre, RemovedDataCentre, RemovedService, Service
from .server_index import ServerIndex
from .sheet_line import LineError, RefusalReason, ServiceLine

__all__ = ["data_centre_tombstone", "new_service", "service_tombstone"]


def service_tombstone(
    known: Service | RemovedService | None, line: ServiceLine, server_index: ServerIndex
) -> RemovedService:
    """Return the tombstone of a service that a line removes.

    Raises
    ------
    LineError
        The plan has never had it, it belongs to another tenant, or some of its
        servers have not left.
    """
    if known is None:
        raise _unknown("service")
    if line.tenant not in (None, known.tenant):
        reason = f"it belongs to tenant {known.tenant!r}; correct tenant or name"
        raise LineError(RefusalReason.TENANT_FIXED, reason)
    if isinstance(known, RemovedService):
        return known
    n_servers = server_index.n_in_service(known.service)
    if n_servers:
        reason = f"{n_servers} of its servers have not left; let them leave first"
        raise LineError(RefusalReason.SERVICE_IN_USE, reason)
    return RemovedService(known.service, known.tenant)


def data_centre_tombstone(
    known: DataCentre | RemovedDataCentre | None, server_index: ServerIndex
) -> RemovedDataCentre:
    """Return the tombstone of a data centre that a line removes.

    Raises
    ------
    LineError
        The plan has never had it, it is in service, or some of its servers have not
        left.
    """
    if known is None:
        raise _unknown("data centre")
    if isinstance(known, RemovedDataCentre):
        return known
    if known.state is not DataCentreState.OUT:
        reason = "it is in service; evacuate it first, in an earlier write"
        raise LineError(RefusalReason.DATA_CENTRE_IN_USE, reason)
    n_servers = server_index.n_in_data_centre(known.data_centre)
    if n_servers:
        reason = f"{n_servers} of its servers have not left; let them leave first"
        raise LineError(RefusalReason.DATA_CENTRE_IN_USE, reason)
    return RemovedDataCentre(known.data_centre)


def new_service(known: RemovedService | None, line: ServiceLine) -> Service:
    """Return the service that a line adds to the plan.

    Raises
    ------
    LineError
        The name belonged to another tenant recently: late packets from that tenant's
        callers still carry it and would reach the new servers.
    """
    assert line.tenant is not None
    if known is not None and known.tenant != line.tenant:
        reason = (
            f"it belonged to tenant {known.tenant!r} until revision "
            f"{known.changed_at}, and late packets may still carry its name; give the "
            "service another name"
        )
        raise LineError(RefusalReason.TENANT_FIXED, reason)
    return Service(line.name, line.tenant)


def _unknown(kind: str) -> LineError:
    reason = f"the plan has no {kind} with this name; remove the line"
    return LineError(RefusalReason.UNKNOWN, reason)
