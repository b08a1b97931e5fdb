"""Relays of a whole system and the faults that a test injects into them."""

from collections.abc import Mapping, Sequence

import msgspec

from sapphirerail_transport.http import HttpClient
from sapphirerail_transport.udp import parse_address

from .child import Child
from .link import Protocol, RelaySpec
from .link_faults import Direction, FaultRule, LinkFaults

__all__ = ["LinkControl"]

CUT = LinkFaults(cut=True)


class LinkControl:
    """Opens relays in a link process and names them by what they join.

    Relays are called ``platform/DC``, ``fabric/DC``, ``server/DC/NAME``,
    ``peer/DC/INSTANCE`` and ``api/DC/INSTANCE``.

    Parameters
    ----------
    child : Child
        The link's process.
    """

    def __init__(self, child: Child) -> None:
        self._client = HttpClient(parse_address(child.ready["admin_address"]))

    async def open(
        self, name: str, target: str = "", protocol: Protocol = Protocol.UDP
    ) -> str:
        """Return the address of a new relay to a target, or to one set later."""
        spec = RelaySpec(name, target, protocol)
        answer = await self._client.call("POST", "/relays", spec)
        return msgspec.json.decode(answer, type=dict[str, str])["address"]

    async def lead_to(self, name: str, target: str) -> None:
        """Give a relay its target, or another one."""
        await self._client.call("PUT", "/relays", RelaySpec(name, target))

    async def inject(
        self,
        relay: str,
        faults: LinkFaults,
        sender: str = "*",
        direction: Direction = Direction.BOTH,
    ) -> None:
        """Let faults happen on the relays and senders that match."""
        rule = FaultRule(relay=relay, sender=sender, direction=direction, faults=faults)
        await self._client.call("POST", "/faults", rule)

    async def mend(self) -> None:
        """Remove all faults; what has gone silent stays silent."""
        await self._client.call("DELETE", "/faults")

    async def silence(self, relay: str) -> None:
        """Let the flows and connections seen until now go silent for good."""
        await self._client.call("POST", "/silence", {"relay": relay})

    async def partition(
        self,
        data_centre: str,
        inside: Sequence[Mapping[str, str]],
        *,
        with_platform: bool = True,
    ) -> None:
        """Cut a data centre off from the others and from the platform.

        Streams tell nothing of who sends them: the API of the instances inside can
        be reached by nobody.

        Parameters
        ----------
        data_centre : str
            The data centre.
        inside : sequence of mapping
            Bound addresses of its instances, by socket.
        with_platform : bool
            Whether the platform can't be reached either.
        """
        await self.inject(f"api/{data_centre}/*", CUT)
        for kind in ("peer", "server"):
            await self.inject(f"{kind}/{data_centre}/*", CUT)
            for ready in inside:
                sender = ready[f"{kind}_address"]
                await self.inject(f"{kind}/*", CUT, sender)
                await self.inject(f"{kind}/{data_centre}/*", LinkFaults(), sender)
        if with_platform:
            await self.inject(f"platform/{data_centre}", CUT)
