"""The plan: services, backend servers, data centres, and their revisions."""

from .model import DataCentre, Plan, Server, Service

__all__ = ["DataCentre", "Plan", "Server", "Service"]
