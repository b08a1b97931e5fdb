"""Structured, rate-limited logs on standard output that never block the process."""

import logging
import os
import sys
import time
from enum import Enum

from pythonjsonlogger.json import JsonFormatter

from ..clock import monotonic_ms

__all__ = ["DecisionLog", "LogClass", "configure_decision_log"]

# Log lines per second, by class; a burst may use the allowance of four seconds.
LINES_PER_S = {"flow": 25, "belief": 50, "life": 50}
BURST_S = 4


class LogClass(Enum):
    """What a log line is about; each class has its own rate limit."""

    FLOW = "flow"
    STATE_CHANGE = "belief"
    LIFECYCLE = "life"


class _TokenBucket:
    """Limits the rate of log lines of one class."""

    def __init__(self, lines_per_s: int) -> None:
        self._rate = lines_per_s
        self._n_tokens = float(lines_per_s * BURST_S)
        self._refilled_at_s = time.monotonic()
        self.n_left_out = 0

    def take(self) -> bool:
        """Return whether a line may be written, and count it if not."""
        now_s = time.monotonic()
        n_added = (now_s - self._refilled_at_s) * self._rate
        self._n_tokens = min(self._n_tokens + n_added, self._rate * BURST_S)
        self._refilled_at_s = now_s
        if self._n_tokens < 1.0:
            self.n_left_out += 1
            return False
        self._n_tokens -= 1.0
        return True


class _NonBlockingHandler(logging.Handler):
    """Writes whole lines to a file descriptor, or drops and counts them."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b""
        self.n_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line unless the reader is too slow."""
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[
                    os.write(self._descriptor, self._unwritten) :
                ]
            if self._unwritten:
                self.n_dropped += 1
                return
            line = (self.format(record) + "\n").encode()
            # The rest of a partly written line is written before the next line.
            self._unwritten = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            self.n_dropped += 1
        except OSError:
            # The reader has closed the pipe; that must not stop the instance.
            self.n_dropped += 1


class DecisionLog:
    """Writes one line for each decision and each detected state change.

    Parameters
    ----------
    logger : logging.Logger
        Receives the lines.
    handler : logging.Handler or None
        Counts the lines dropped because of a slow reader.
    """

    def __init__(
        self, logger: logging.Logger, handler: _NonBlockingHandler | None = None
    ) -> None:
        self._logger = logger
        self._handler = handler
        self._buckets = {
            kind: _TokenBucket(LINES_PER_S[kind.value]) for kind in LogClass
        }

    @property
    def n_dropped(self) -> int:
        """Number of lines dropped because of a slow or absent reader."""
        return 0 if self._handler is None else self._handler.n_dropped

    def write(self, kind: LogClass, message: str, **fields: object) -> None:
        """Write a line unless its class exceeds its rate limit.

        Parameters
        ----------
        kind : LogClass
            Class of the line.
        message : str
            Stable name of the decision.
        **fields : object
            Inputs and outcome of the decision.
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
    """Write all logs of the process to standard output as JSON lines."""
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
