"""The life of a stand-in process: start, one ready line, end on SIGTERM."""

import asyncio
import signal
import sys
from typing import Protocol

import msgspec

from sapphirerail_transport.http import HttpRequest

__all__ = ["LOOPBACK", "Service", "run", "split_path"]

LOOPBACK = "127.0.0.1:0"


class Service(Protocol):
    """Something that a process serves until it is told to end."""

    async def start(self) -> dict[str, str]:
        """Open the sockets and return their addresses by name."""
        ...

    async def close(self) -> None:
        """Close the sockets."""
        ...


def run(service: Service) -> None:
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    service : Service
        What to serve; its addresses are printed as one line of JSON.
    """
    asyncio.run(_serve(service))


async def _serve(service: Service) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    addresses = await service.start()
    sys.stdout.write(msgspec.json.encode(addresses).decode() + "\n")
    sys.stdout.flush()
    await stop.wait()
    await service.close()


def split_path(request: HttpRequest) -> tuple[str, str]:
    """Return the first segment of a path and the rest.

    Examples
    --------
    >>> split_path(HttpRequest("GET", "/kv/plan/root", {}, b""))
    ('kv', 'plan/root')
    """
    head, _, rest = request.path.lstrip("/").partition("/")
    return head, rest
