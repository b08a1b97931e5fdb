"""Flows: where a packet of a connection goes."""

from .config import FlowConfig
from .director import FlowDirector
from .status import FlowStatus

__all__ = ["FlowConfig", "FlowDirector", "FlowStatus"]
