"""The platform's list of instances over HTTP."""

from collections.abc import Sequence

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.fleet.listing import ListedInstance

from .http import HttpClient

__all__ = ["PlatformInstanceList"]

TIMEOUT_MS = 2000


class _Listing(msgspec.Struct, frozen=True):
    """The answer's body."""

    instances: list[ListedInstance]


class PlatformInstanceList:
    """Fetches the list; an answer that cannot be read is an error, not a list.

    Parameters
    ----------
    client : HttpClient
        Calls the platform.
    timeout_ms : int
        Time for one call.
    """

    def __init__(self, client: HttpClient, timeout_ms: int = TIMEOUT_MS) -> None:
        self._client = client
        self._timeout_ms = timeout_ms

    async def fetch(self) -> Sequence[ListedInstance]:
        """Return the list as the platform gives it now.

        Raises
        ------
        HttpError
            If the platform gives no answer or refuses.
        InputError
            ``listing.malformed`` if the answer cannot be read.
        """
        body = await self._client.call("GET", "/instances", timeout_ms=self._timeout_ms)
        try:
            return msgspec.json.decode(body, type=_Listing).instances
        except msgspec.MsgspecError as error:
            raise InputError("listing.malformed", str(error)) from error
