"""Client of the platform's lagging list of instances."""

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
    """Reads the list over HTTP.

    Parameters
    ----------
    address : Address
        Where the platform listens.
    timeout_ms : int
        Time for one call.
    """

    def __init__(self, address: Address, timeout_ms: int = LIST_TIMEOUT_MS) -> None:
        self._client = HttpClient(address)
        self._timeout_ms = timeout_ms

    async def fetch(self) -> Sequence[ListedInstance]:
        """Return the list as the platform gives it now.

        Raises
        ------
        HttpError
            If there was no usable answer.
        InputError
            ``listing.malformed`` if the answer is not a list of instances.
        """
        body = await self._client.call("GET", "/instances", timeout_ms=self._timeout_ms)
        try:
            return msgspec.json.decode(body, type=_Listing).instances
        except msgspec.MsgspecError as error:
            raise InputError("listing.malformed", str(error)) from error
