"""Entry point of an instance on the users' platform."""

import os
import signal
import socket
import sys

# Address and port for callers' packets, set by the deployment file.
PACKET_ADDRESS_VARIABLE = "SAPPHIRERAIL_PACKET_ADDRESS"


# Before the application installs its handler, this signal would terminate the process.
# It can be ignored here, as the settings are read after the imports anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _bind_early() -> socket.socket | None:
    """Bind the socket for packets, so that it queues packets during the imports."""
    host, _, port = os.environ.get(PACKET_ADDRESS_VARIABLE, "").rpartition(":")
    if not host:
        return None
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind((host, int(port)))
    return bound


_packet_socket = _bind_early()

# asyncio works without the ssl module, which would take a fifth of the process's
# memory. This platform does not use TLS.
sys.modules["ssl"] = None  # type: ignore[assignment]

import asyncio  # noqa: E402

# Modules imported later, by the first request for metrics, may use ssl.
del sys.modules["ssl"]

from sapphirerail_core.errors import InputError  # noqa: E402

from ..exit_code import ExitCode  # noqa: E402
from ..steering.application import SteeringApplication  # noqa: E402
from .packets import PlatformPacketCodec  # noqa: E402
from .settings import read_settings  # noqa: E402
from .store import HttpPlatformStore  # noqa: E402


async def _run() -> ExitCode:
    settings = read_settings()
    application = SteeringApplication.from_config(
        settings,
        PlatformPacketCodec(settings.packet_address[1]),
        HttpPlatformStore(settings.store_address),
        read_settings,
        _packet_socket,
    )
    return await application.run()


def main() -> int:
    """Run until a stop signal is received, and return the exit code."""
    try:
        return asyncio.run(_run())
    except InputError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        return ExitCode.SETTINGS


if __name__ == "__main__":
    sys.exit(main())
