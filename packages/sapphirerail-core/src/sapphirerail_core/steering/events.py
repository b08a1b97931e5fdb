"""State changes and decision reasons of steering, for logs and metrics."""

from enum import Enum

import msgspec

__all__ = ["Event", "Reason", "StateChange"]


class StateChange(Enum):
    """A change of state that an instance detected; logs and metrics use the value."""

    CONFIGURATION_APPLIED = "configuration_applied"
    CONFIGURATION_STALE = "configuration_stale"
    DATA_CENTRE_OUT = "data_centre_out"
    DATA_CENTRE_BACK = "data_centre_back"
    SERVER_ADDED = "server_added"
    SERVER_CHANGED = "server_changed"
    SERVER_RESTARTED = "server_restarted"
    SERVER_MISSING = "server_missing"
    SERVER_ENTRY_INVALID = "server_entry_invalid"
    SERVER_DEPARTED = "server_departed"
    SERVER_SUSPECTED = "server_suspected"
    SERVER_FAILED = "server_dead"
    SERVER_FAILURE_REPORTED = "server_dead_by_peer"
    SERVER_RECOVERED = "server_recovered"
    SERVER_SUPERSEDED = "server_superseded"
    INSTANCE_ISOLATED = "instance_stranded"
    INSTANCE_REJOINED = "instance_rejoined"
    TAG_COLLISION = "tag_collision"


class Reason(Enum):
    """Why an instance handled a packet in this way; logs and metrics use the value."""

    NEW_FLOW = "new_flow"
    REPEATED_OPENING = "repeated_opening"
    UNANSWERED_OPENING = "unanswered_opening"
    KNOWN_TAG = "known_tag"
    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    ROUTE_INVALID = "route_invalid"
    ROUTE_REMOVED = "route_removed"
    NO_SERVER = "no_server"
    SERVERS_COLD = "servers_cold"
    SERVERS_FAILED = "servers_dead"
    NO_TAG = "no_tag"
    UNKNOWN_TAG = "unknown_tag"
    UNCONFIRMED_TAG = "unconfirmed_tag"
    SERVER_DEPARTED = "server_departed"
    SERVER_FAILED = "server_dead"
    DATA_CENTRE_OUT = "data_centre_out"


class Event(msgspec.Struct, frozen=True):
    """A detected state change.

    Parameters
    ----------
    change : StateChange
        Kind of the change.
    subject : str
        The server, data centre, instance or configuration revision concerned.
    detail : dict of str to object
        Inputs of the decision, with their age or version, by their keys in log lines.
    """

    change: StateChange
    subject: str
    detail: dict[str, object]
