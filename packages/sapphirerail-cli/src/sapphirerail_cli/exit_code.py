"""Exit codes of the operators' command."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit codes of the command.

    OK : the command did everything it was asked to do.
    FAILED : the command failed.
    USAGE : the command line or a setting is invalid.
    LINES_REFUSED : some sheet lines were refused; the others were applied.
    NOTHING_APPLIED : the whole sheet was refused.
    NOT_WRITTEN : the store rejected the change or gave no answer; nothing changed.
    UNKNOWN_OUTCOME : it is unknown whether the change took effect.
    NOT_IN_FORCE : the timeout expired before every instance had the revision.
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
