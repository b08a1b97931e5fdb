"""Controls the relays of a whole system and the faults injected into them."""

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
    """Opens relays in a link process and injects faults into them.

    Relays are named after what they connect: ``platform/DC``, ``fabric/DC``,
    ``server/DC/NAME``, ``peer/DC/INSTANCE`` and ``api/DC/INSTANCE``.

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
        """Open a relay and return its address; an empty target is set later."""
        spec = RelaySpec(name, target, protocol)
        answer = await self._client.call("POST", "/relays", spec)
        return msgspec.json.decode(answer, type=dict[str, str])["address"]

    async def retarget(self, name: str, target: str) -> None:
        """Set or change the target of a relay."""
        await self._client.call("PUT", "/relays", RelaySpec(name, target))

    async def inject(
        self,
        relay: str,
        faults: LinkFaults,
        sender: str = "*",
        direction: Direction = Direction.BOTH,
    ) -> None:
        """Add a fault rule for the matching relays and senders."""
        rule = FaultRule(relay=relay, sender=sender, direction=direction, faults=faults)
        await self._client.call("POST", "/faults", rule)

    async def clear_faults(self) -> None:
        """Remove all fault rules; black-holed connections stay black-holed."""
        await self._client.call("DELETE", "/faults")

    async def blackhole(self, relay: str) -> None:
        """Drop all traffic of the flows and connections seen so far, permanently."""
        await self._client.call("POST", "/silence", {"relay": relay})

    async def partition(
        self,
        data_centre: str,
        inside: Sequence[Mapping[str, str]],
        *,
        with_platform: bool = True,
    ) -> None:
        """Partition a data centre from the others and from the platform.

        The relays of streams can't tell who connects, so the API of the instances
        inside is cut off from everybody.

        Parameters
        ----------
        data_centre : str
            The data centre.
        inside : sequence of mapping
            Bound addresses of each of its instances, by socket.
        with_platform : bool
            Whether it is cut off from the platform too.
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
