"""Request keys, and the data centres that store the claims on them."""

from typing import NewType

import xxhash

from ..datagram import Datagram
from ..plan.model import Plan
from ..rendezvous import rank
from ..types import DataCentreId

__all__ = ["RequestKey", "claim_data_centres", "request_key"]

RequestKey = NewType("RequestKey", int)
"""Unsigned 64-bit hash of service, flow and request."""


def request_key(datagram: Datagram) -> RequestKey:
    """Return the key that all transmissions of a request share.

    Parameters
    ----------
    datagram : Datagram
        A request, an opening, a cancellation or a reply to one of them.

    Returns
    -------
    RequestKey
        The key; an opening has its own, because its request number is 0.

    Examples
    --------
    >>> from sapphirerail_core.datagram import Kind
    >>> one = Datagram(kind=Kind.REQUEST, service="holds", flow=1, request=2)
    >>> two = Datagram(kind=Kind.ANSWER, service="holds", flow=1, request=2, attempt=1)
    >>> request_key(one) == request_key(two)
    True
    """
    text = f"{datagram.flow}:{datagram.request}:{datagram.service}"
    return RequestKey(xxhash.xxh3_64_intdigest(text.encode()))


def claim_data_centres(plan: Plan, key: RequestKey) -> list[DataCentreId]:
    """Return the data centres in service, the claim's home data centre first.

    The home is the data centre whose replicas decide on the first transmission.
    """
    names = [name for name in plan.data_centres if not plan.is_evacuated(name)]
    return [DataCentreId(name) for name in rank(key, names)]
