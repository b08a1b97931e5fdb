"""Exit codes of the entry instance's process."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit code of the process.

    ``OK`` follows a graceful shutdown, ``FAILED`` an unexpected error, ``SETTINGS`` an
    invalid setting, ``ADDRESS_IN_USE`` a socket that could not be bound, and
    ``FORCED`` a second termination signal or a shutdown that exceeded its timeout.
    """

    OK = 0
    FAILED = 1
    SETTINGS = 2
    ADDRESS_IN_USE = 3
    FORCED = 4
