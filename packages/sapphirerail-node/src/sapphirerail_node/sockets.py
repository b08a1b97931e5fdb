"""Creation of the sockets of one instance."""

import socket
from dataclasses import dataclass

from sapphirerail_transport.udp import Address, format_address

from .settings import Settings
from .status import ReadyLine

__all__ = ["Sockets"]

# Holds several thousand datagrams, so that a pause of the event loop loses none.
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Sockets:
    """Bound sockets of one instance.

    They are bound before the other components are created, because some of these
    advertise the bound addresses. Packets that arrive before the event loop reads
    wait in the sockets' buffers.
    """

    caller: socket.socket
    server: socket.socket
    peer: socket.socket
    api: socket.socket

    @classmethod
    def from_config(cls, settings: Settings) -> "Sockets":
        """Create and bind all sockets.

        Parameters
        ----------
        settings : Settings
            Holds the addresses.

        Returns
        -------
        Sockets
            The bound sockets.

        Raises
        ------
        OSError
            If an address cannot be bound; all sockets are closed again then.
        """
        opened: list[socket.socket] = []
        try:
            for address in (
                settings.caller_address,
                settings.server_address,
                settings.peer_address,
            ):
                opened.append(_bind_datagram(address))
            opened.append(_bind_stream(settings.api_address))
        except OSError:
            for bound in opened:
                bound.close()
            raise
        return cls(*opened)

    def ready_line(self, settings: Settings) -> ReadyLine:
        """Return the ready line with the addresses that the sockets are bound to."""
        return ReadyLine(
            settings.instance,
            _address(self.caller),
            _address(self.server),
            _address(self.peer),
            _address(self.api),
        )

    def peer_advertised(self, settings: Settings) -> str:
        """Return the address at which other instances reach the peer socket."""
        if settings.peer_advertised is not None:
            return format_address(settings.peer_advertised)
        return _address(self.peer)

    def api_advertised(self, settings: Settings) -> str:
        """Return the address at which other instances and operators reach the API."""
        if settings.api_advertised is not None:
            return format_address(settings.api_advertised)
        return _address(self.api)


def _bind_datagram(address: Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return _bind(bound, address)


def _bind_stream(address: Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    # A restarted instance can bind its port while old connections are in TIME_WAIT.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return _bind(bound, address)


def _bind(bound: socket.socket, address: Address) -> socket.socket:
    bound.setblocking(False)
    try:
        bound.bind(address)
    except OSError as error:
        bound.close()
        text = f"{format_address(address)}: {error.strerror}"
        raise OSError(error.errno, text) from error
    return bound


def _address(bound: socket.socket) -> str:
    return format_address(bound.getsockname()[:2])
