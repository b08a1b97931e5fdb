"""Conversion of callers' addresses to and from integers."""

__all__ = ["NO_ADDRESS", "pack_address", "unpack_address"]

NO_ADDRESS = 0
_N_OCTETS = 4


def pack_address(address: str) -> int:
    """Return an IPv4 ``address:port`` as a 48-bit integer.

    Parameters
    ----------
    address : str
        Address and port of a caller.

    Returns
    -------
    int
        Address in the upper 32 bits, port in the lower 16; `NO_ADDRESS` if the
        text is empty or not an IPv4 address with a port.

    Examples
    --------
    >>> unpack_address(pack_address("127.0.0.1:80"))
    '127.0.0.1:80'
    >>> pack_address("[::1]:80")
    0
    """
    host, _, port = address.rpartition(":")
    octets = host.split(".")
    if len(octets) != _N_OCTETS or not all(map(_is_number, [*octets, port])):
        return NO_ADDRESS
    first, second, third, fourth = map(int, octets)
    number = int(port)
    if max(first, second, third, fourth) > 0xFF or number > 0xFFFF:
        return NO_ADDRESS
    return first << 40 | second << 32 | third << 24 | fourth << 16 | number


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def unpack_address(packed: int) -> str:
    """Return the ``address:port`` of a packed address; empty for `NO_ADDRESS`."""
    if packed == NO_ADDRESS:
        return ""
    octets = packed.to_bytes(6, "big")[:_N_OCTETS]
    return ".".join(map(str, octets)) + f":{packed & 0xFFFF}"
