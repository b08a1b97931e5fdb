"""Assigns flows to backend servers and keeps each flow on its server."""

from .config import FlowConfig
from .director import FlowDirector
from .status import FlowStatus

__all__ = ["FlowConfig", "FlowDirector", "FlowStatus"]
