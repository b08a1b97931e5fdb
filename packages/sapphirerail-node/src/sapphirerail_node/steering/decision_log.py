"""Structured logs on standard output that never block and stay bounded."""

import logging
import os
import sys
import time
from enum import Enum

from pythonjsonlogger.json import JsonFormatter

from ..clock import monotonic_ms

__all__ = ["DecisionLog", "LogClass", "configure_decision_log"]

# Lines a second and class; bursts may use four seconds' worth at once.
LINES_PER_S = {"flow": 25, "belief": 50, "life": 50}
BURST_S = 4


class LogClass(Enum):
    """What a line is about; each class has a bound of its own."""

    FLOW = "flow"
    BELIEF = "belief"
    LIFE = "life"


class _Bucket:
    """Bounds the lines of one class."""

    def __init__(self, lines_per_s: int) -> None:
        self._rate = lines_per_s
        self._room = float(lines_per_s * BURST_S)
        self._at_s = time.monotonic()
        self.n_left_out = 0

    def take(self) -> bool:
        now_s = time.monotonic()
        added = (now_s - self._at_s) * self._rate
        self._room = min(self._room + added, self._rate * BURST_S)
        self._at_s = now_s
        if self._room < 1.0:
            self.n_left_out += 1
            return False
        self._room -= 1.0
        return True


class _NonBlockingHandler(logging.Handler):
    """Writes whole lines to a descriptor, or drops and counts them."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b""
        self.n_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line unless the reader has fallen behind."""
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            if self._rest:
                self.n_dropped += 1
                return
            line = (self.format(record) + "\n").encode()
            # The rest of a line that was written in part follows before the next.
            self._rest = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            self.n_dropped += 1
        except OSError:
            # Nobody reads; serving goes on.
            self.n_dropped += 1


class DecisionLog:
    """Writes one line for each decision and each change of belief.

    Parameters
    ----------
    logger : logging.Logger
        Where lines go.
    handler : logging.Handler or None
        Counts what a slow reader lost.
    """

    def __init__(
        self, logger: logging.Logger, handler: _NonBlockingHandler | None = None
    ) -> None:
        self._logger = logger
        self._handler = handler
        self._buckets = {kind: _Bucket(LINES_PER_S[kind.value]) for kind in LogClass}

    @property
    def n_dropped(self) -> int:
        """Lines that a slow or absent reader lost."""
        return 0 if self._handler is None else self._handler.n_dropped

    def write(self, kind: LogClass, message: str, **fields: object) -> None:
        """Write a line unless its class is over its bound.

        Parameters
        ----------
        kind : LogClass
            What it is about.
        message : str
            Stable name of the decision.
        **fields : object
            Inputs and outcome.
        """
        bucket = self._buckets[kind]
        if not bucket.take():
            return
        if bucket.n_left_out:
            fields["n_left_out"] = bucket.n_left_out
            bucket.n_left_out = 0
        fields["mono_ms"] = monotonic_ms()
        self._logger.info(message, extra={"class": kind.value, **fields})


def configure_decision_log(instance: str, data_centre: str) -> DecisionLog:
    """Send all logs of the process to standard output as JSON lines."""
    handler = _NonBlockingHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance, "data_centre": data_centre},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return DecisionLog(logging.getLogger("sapphirerail"), handler)
