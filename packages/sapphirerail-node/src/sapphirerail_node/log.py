"""Structured logs: one JSON object per line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from sapphirerail_core.types import DataCentreId, InstanceId, Revision

__all__ = ["LogContext", "configure_logging"]


class LogContext(logging.Filter):
    """Adds instance, data centre and plan revision to every record.

    Parameters
    ----------
    instance : InstanceId
        Name of this instance.
    data_centre : DataCentreId
        Data centre of this instance.
    """

    def __init__(self, instance: InstanceId, data_centre: DataCentreId) -> None:
        super().__init__()
        self.instance = instance
        self.data_centre = data_centre
        self.revision = Revision(0)

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields to a record; always return True, so that none is dropped."""
        record.instance = self.instance
        record.data_centre = self.data_centre
        record.revision = self.revision
        if not hasattr(record, "flow"):
            record.flow = None
        return True


def configure_logging(level: str, context: LogContext) -> None:
    """Send all logs of the process through the JSON formatter.

    Parameters
    ----------
    level : str
        Minimum level of the records that are written.
    context : LogContext
        Adds the fields of the instance.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(context)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s "
            "%(instance)s %(data_centre)s %(revision)s %(flow)s",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
