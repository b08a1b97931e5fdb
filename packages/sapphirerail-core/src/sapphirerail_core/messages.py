"""All message types between instances, collected for the codec."""

from .effects import Message
from .fleet.messages import MESSAGES as FLEET_MESSAGES
from .flow.messages import MESSAGES as FLOW_MESSAGES
from .plan.messages import MESSAGES as PLAN_MESSAGES
from .request.messages import MESSAGES as REQUEST_MESSAGES

__all__ = ["message_types"]


def message_types() -> tuple[type[Message], ...]:
    """Return all message types, each once."""
    return FLEET_MESSAGES + FLOW_MESSAGES + PLAN_MESSAGES + REQUEST_MESSAGES
