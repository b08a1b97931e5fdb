"""Exit codes of the operators' command."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """How the command ended.

    OK : all that was asked is done.
    FAILED : the command could not do its work.
    USAGE : the command line or a setting cannot be used.
    LINES_REFUSED : some lines were refused; the others are applied.
    NOTHING_APPLIED : the sheet as a whole was refused.
    NOT_WRITTEN : the store did not take the change; nothing changed.
    UNKNOWN_OUTCOME : nobody knows whether the change took effect.
    NOT_IN_FORCE : the time ran out before the revision was seen everywhere.
    STORE_BEHIND : instances hold a higher revision than the store.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    LINES_REFUSED = 3
    NOTHING_APPLIED = 4
    NOT_WRITTEN = 5
    UNKNOWN_OUTCOME = 6
    NOT_IN_FORCE = 7
    STORE_BEHIND = 8
