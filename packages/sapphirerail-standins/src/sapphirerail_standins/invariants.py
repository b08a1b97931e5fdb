"""Checks the system's ten invariants on a history recorded outside of it."""

from collections.abc import Callable, Sequence

from .flow_checks import established_flow_survives, no_packet_to_another_service
from .history import HistoryEvent
from .plan_checks import (
    accepted_line_stays_in_force,
    leaving_server_gets_no_new_work,
    no_packet_to_data_centre_out,
)
from .request_checks import (
    answer_is_whole_and_own,
    non_idempotent_runs_at_most_once,
    planned_stop_cuts_no_request,
    refusal_not_run_is_true,
)
from .server_checks import cold_server_is_not_overloaded
from .violation import Limits, Violation

__all__ = ["CHECKS", "Limits", "Violation", "check", "report"]

Check = Callable[[Sequence[HistoryEvent], Limits], list[Violation]]

CHECKS: dict[str, Check] = {
    "established_flow_survives": established_flow_survives,
    "no_packet_to_another_service": no_packet_to_another_service,
    "cold_server_is_not_overloaded": cold_server_is_not_overloaded,
    "no_packet_to_data_centre_out": no_packet_to_data_centre_out,
    "answer_is_whole_and_own": answer_is_whole_and_own,
    "refusal_not_run_is_true": refusal_not_run_is_true,
    "non_idempotent_runs_at_most_once": non_idempotent_runs_at_most_once,
    "leaving_server_gets_no_new_work": leaving_server_gets_no_new_work,
    "planned_stop_cuts_no_request": planned_stop_cuts_no_request,
    "accepted_line_stays_in_force": accepted_line_stays_in_force,
}


def check(
    events: Sequence[HistoryEvent], limits: Limits | None = None
) -> list[Violation]:
    """Return every violation of an invariant in a recorded history.

    Parameters
    ----------
    events : sequence of HistoryEvent
        What callers, backend servers, the platform and operators saw, in order.
    limits : Limits or None
        Time limits of the invariants; None takes the specified ones.

    Returns
    -------
    list of Violation
        Empty if all invariants held.
    """
    limits = limits or Limits()
    return [violation for run in CHECKS.values() for violation in run(events, limits)]


def report(violations: Sequence[Violation]) -> str:
    """Format violations with their traces as text."""
    return "\n".join(str(violation) for violation in violations)
