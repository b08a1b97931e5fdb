"""Exit codes of the instance's process."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """How the process ended.

    ``OK`` follows a graceful shutdown, ``FAILED`` an unexpected error, ``SETTINGS`` a
    refused setting, ``ADDRESS_IN_USE`` a socket that could not be bound, and
    ``FORCED`` a second termination signal or a shutdown past its time.
    """

    OK = 0
    FAILED = 1
    SETTINGS = 2
    ADDRESS_IN_USE = 3
    FORCED = 4
