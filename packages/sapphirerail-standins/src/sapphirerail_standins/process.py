"""Main loop of a stand-in process: start, ready line, exit on SIGTERM."""

import asyncio
import signal
import sys
from typing import Protocol

import msgspec

from sapphirerail_transport.http import HttpRequest

__all__ = ["LOOPBACK", "Service", "run", "split_path"]

LOOPBACK = "127.0.0.1:0"


class Service(Protocol):
    """A service that a process runs until it is signalled."""

    async def start(self) -> dict[str, str]:
        """Open the sockets and return their addresses by name."""
        ...

    async def close(self) -> None:
        """Close the sockets."""
        ...


def run(service: Service) -> None:
    """Run a service until SIGTERM or SIGINT.

    Parameters
    ----------
    service : Service
        Service to run. Once it has started, its addresses are printed as one line of
        JSON, the ready line.
    """
    asyncio.run(_serve(service))


async def _serve(service: Service) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    addresses = await service.start()
    sys.stdout.write(msgspec.json.encode(addresses).decode() + "\n")
    sys.stdout.flush()
    await stop.wait()
    await service.close()


def split_path(request: HttpRequest) -> tuple[str, str]:
    """Split a path into its first segment and the rest.

    Examples
    --------
    >>> split_path(HttpRequest("GET", "/kv/plan/root", {}, b""))
    ('kv', 'plan/root')
    """
    head, _, rest = request.path.lstrip("/").partition("/")
    return head, rest
