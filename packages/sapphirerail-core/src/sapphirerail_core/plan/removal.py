"""Rules for removing services and data centres, and for using their names again."""

from ..types import DataCentreState
from .model import DataCentre, RemovedDataCentre, RemovedService, Service
from .places import Places
from .sheet_line import LineError, RefusalReason, ServiceLine

__all__ = ["added_service", "removed_data_centre", "removed_service"]


def removed_service(
    known: Service | RemovedService | None, line: ServiceLine, places: Places
) -> RemovedService:
    """Return what is kept of a service that a line removes.

    Raises
    ------
    LineError
        The plan never had it, it is another tenant's, or servers have not left.
    """
    if known is None:
        raise _unknown("service")
    if line.tenant not in (None, known.tenant):
        reason = f"it belongs to {known.tenant!r}; correct tenant or name"
        raise LineError(RefusalReason.TENANT_FIXED, reason)
    if isinstance(known, RemovedService):
        return known
    n_servers = places.n_of_service(known.service)
    if n_servers:
        reason = f"{n_servers} of its servers have not left; let them leave first"
        raise LineError(RefusalReason.SERVICE_IN_USE, reason)
    return RemovedService(known.service, known.tenant)


def removed_data_centre(
    known: DataCentre | RemovedDataCentre | None, places: Places
) -> RemovedDataCentre:
    """Return what is kept of a data centre that a line removes.

    Raises
    ------
    LineError
        The plan never had it, it is in service, or servers have not left.
    """
    if known is None:
        raise _unknown("data centre")
    if isinstance(known, RemovedDataCentre):
        return known
    if known.state is not DataCentreState.OUT:
        reason = "it is in service; take it out first, in a write before this one"
        raise LineError(RefusalReason.DATA_CENTRE_IN_USE, reason)
    n_servers = places.n_in_data_centre(known.data_centre)
    if n_servers:
        reason = f"{n_servers} of its servers have not left; let them leave first"
        raise LineError(RefusalReason.DATA_CENTRE_IN_USE, reason)
    return RemovedDataCentre(known.data_centre)


def added_service(known: RemovedService | None, line: ServiceLine) -> Service:
    """Return the service that a line about an unknown or removed one asks for.

    Raises
    ------
    LineError
        The name was another tenant's and is not forgotten: late packets of that
        tenant's callers name it still, and would reach the new servers.
    """
    assert line.tenant is not None
    if known is not None and known.tenant != line.tenant:
        reason = (
            f"revision {known.changed_at} removed it from {known.tenant!r}, whose late "
            "packets may still name it; give the service another name"
        )
        raise LineError(RefusalReason.TENANT_FIXED, reason)
    return Service(line.name, line.tenant)


def _unknown(what: str) -> LineError:
    reason = f"the plan has no {what} of this name; leave the line out"
    return LineError(RefusalReason.UNKNOWN, reason)
