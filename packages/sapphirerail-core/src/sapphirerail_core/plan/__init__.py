"""The plan: services, backend servers, data centres, and their revisions."""

from .layers import current_layer, next_layers
from .model import EMPTY_PLAN, DataCentre, Layer, Plan, Seat, Server, Service

__all__ = [
    "EMPTY_PLAN",
    "DataCentre",
    "Layer",
    "Plan",
    "Seat",
    "Server",
    "Service",
    "current_layer",
    "next_layers",
]
