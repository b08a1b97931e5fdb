"""The plan: services, backend servers, data centres, and their revisions."""

from .layers import current_layer, next_layers
from .model import DataCentre, Layer, Plan, Seat, Server, Service

__all__ = [
    "DataCentre",
    "Layer",
    "Plan",
    "Seat",
    "Server",
    "Service",
    "current_layer",
    "next_layers",
]
