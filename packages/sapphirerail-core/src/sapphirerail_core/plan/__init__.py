"""The plan: services, backend servers, data centres, and their revisions."""

from .model import EMPTY_PLAN, DataCentre, Plan, Server, Service

__all__ = ["EMPTY_PLAN", "DataCentre", "Plan", "Server", "Service"]
