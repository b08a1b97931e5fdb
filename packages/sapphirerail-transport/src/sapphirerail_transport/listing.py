"""HTTP client of the platform's list of instances, which may be out of date."""

from collections.abc import Sequence

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.fleet.listing import ListedInstance

from .http import HttpClient
from .udp import Address

__all__ = ["HttpInstanceList"]

LIST_TIMEOUT_MS = 2000


class _Listing(msgspec.Struct, frozen=True):
    instances: list[ListedInstance]


class HttpInstanceList:
    """Reads the platform's list of instances over HTTP.

    Parameters
    ----------
    address : Address
        Host and port of the platform.
    timeout_ms : int
        Timeout of one call.
    """

    def __init__(self, address: Address, timeout_ms: int = LIST_TIMEOUT_MS) -> None:
        self._client = HttpClient(address)
        self._timeout_ms = timeout_ms

    async def fetch(self) -> Sequence[ListedInstance]:
        """Return the instances that the platform lists now.

        Raises
        ------
        HttpError
            If there was no successful response.
        InputError
            ``listing.malformed`` if the response is not a list of instances.
        """
        body = await self._client.call("GET", "/instances", timeout_ms=self._timeout_ms)
        try:
            return msgspec.json.decode(body, type=_Listing).instances
        except msgspec.MsgspecError as error:
            raise InputError("listing.malformed", str(error)) from error
