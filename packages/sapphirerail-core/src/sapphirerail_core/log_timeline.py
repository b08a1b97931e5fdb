"""Build the timeline of one flow or server from the decision logs of many instances."""

import statistics
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec

__all__ = ["LogLine", "Timeline", "build_timeline", "read_log", "render_timeline"]

# Age limit of the detected state changes that are shown with a decision on a flow.
STATE_WINDOW_MS = 5_000
# Fields common to all lines; the remaining fields are the inputs of the decision.
_COMMON_FIELDS = frozenset(
    {"time", "level", "message", "instance", "class", "mono_ms", "flow", "reason"}
)
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

CAUSES = {
    "not_ready": "the instance had not read the configuration or the servers yet",
    "no_route": "the configuration in force has no route for this address",
    "route_invalid": "the configuration in force names no valid service for this route",
    "route_removed": "the configuration in force has removed the route",
    "no_server": "no server of the service accepts flows: none is registered, or its "
    "data centre is out of service",
    "servers_cold": "only cold servers are available, and they are at capacity",
    "servers_dead": "probes show that no server of the service can be reached",
    "server_departed": "the server's entry was removed, and not because of an outage",
    "server_dead": "probes show that the server of the flow cannot be reached",
    "data_centre_out": "operators have evacuated the data centre of the flow's server",
    "unknown_tag": "no server has the flow's tag, according to a read after the packet "
    "arrived",
    "unconfirmed_tag": "the flow's tag is not known yet; a read was requested",
    "no_tag": "the caller has not learned the server of the flow yet",
    "unanswered_opening": "the previous server did not answer in time, so the opening "
    "was sent to another one",
}

# Maximum time from the first refusal until an instance detects that it is isolated.
ISOLATION_DETECTION_MS = 3_000
ISOLATED = (
    "its instance was isolated: it could reach neither the servers of the service, "
    "nor any remote server, nor the store"
)

# Probable cause for a flow without a logged refusal, by the message that shows it.
FAILURE_CAUSES = {
    "started": "no refusal logged; its instance was lost without logging a stop and "
    "restarted, and packets sent to it in the meantime were lost",
    "server_dead": "no refusal logged; its server was later detected as failed",
    "server_departed": "no refusal logged; its server departed later",
}


class LogLine(msgspec.Struct, frozen=True):
    """One line of a decision log.

    Parameters
    ----------
    at_ms : float
        Unix time, computed from the instance's monotonic clock and the median offset
        of its wall clock, so that wall clock jumps do not reorder lines.
    instance : str
        Instance that logged the line.
    message : str
        Name of the decision or of the detected state change.
    fields : dict of str to object
        All fields of the line.
    """

    at_ms: float
    instance: str
    message: str
    fields: dict[str, Any]


class Timeline(msgspec.Struct, frozen=True):
    """Log lines relevant to a flow or server, and the cause of its last decision."""

    lines: tuple[LogLine, ...]
    cause: str | None
    n_left_out: int


def read_log(lines: Iterable[str]) -> list[LogLine]:
    """Parse the log lines of any number of instances and sort them by time.

    Parameters
    ----------
    lines : iterable of str
        Log lines, in the order in which each instance wrote them. Text before the
        first brace of a line is ignored, and so are lines without a JSON object.

    Returns
    -------
    list of LogLine
        Sorted by corrected time.
    """
    decoded: dict[tuple[str, int], list[dict[str, Any]]] = {}
    runs: dict[str, int] = {}
    for line in lines:
        fields = _decode(line)
        if fields is None:
            continue
        instance = str(fields["instance"])
        if fields["message"] == "started":
            runs[instance] = runs.get(instance, 0) + 1
        decoded.setdefault((instance, runs.get(instance, 0)), []).append(fields)
    found = [line for run in decoded.values() for line in _correct_times(run)]
    return sorted(found, key=lambda line: line.at_ms)


def _decode(line: str) -> dict[str, Any] | None:
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return None
    needed = {"time", "instance", "message", "mono_ms"}
    if not isinstance(fields, dict) or not needed <= fields.keys():
        return None
    return fields


def _correct_times(run: list[dict[str, Any]]) -> list[LogLine]:
    """Return the lines of one process, timed by its monotonic clock."""
    offset_ms = statistics.median(
        _wall_ms(fields["time"]) - fields["mono_ms"] for fields in run
    )
    return [
        LogLine(
            at_ms=fields["mono_ms"] + offset_ms,
            instance=fields["instance"],
            message=fields["message"],
            fields=fields,
        )
        for fields in run
    ]


def _wall_ms(text: str) -> float:
    return datetime.strptime(text, _TIME_FORMAT).replace(tzinfo=UTC).timestamp() * 1000


def build_timeline(
    lines: Sequence[LogLine], *, flow: str | None = None, server: str | None = None
) -> Timeline:
    """Build the timeline of a flow or a server.

    Parameters
    ----------
    lines : sequence of LogLine
        Sorted log lines, as returned by `read_log`.
    flow : str or None
        Part of a flow's name, such as ``100.64.0.7:40001``.
    server : str or None
        Name of a server.

    Returns
    -------
    Timeline
        The decisions, the state changes of the involved servers that the deciding
        instances detected shortly before, and the cause.

    Examples
    --------
    >>> line = LogLine(1.0, "osu-1", "flow_reset", {"flow": "a:1>b:2", "reason":
    ... "no_route"})
    >>> build_timeline([line], flow="a:1").cause
    'the configuration in force has no route for this address'
    """
    decisions = [line for line in lines if _is_about(line, flow, server)]
    servers = {str(d.fields["server"]) for d in decisions if "server" in d.fields}
    state_changes = [
        line
        for line in lines
        if not _is_about(line, flow, server)
        and any(_explains(line, decision, servers) for decision in decisions)
    ]
    timeline_lines = sorted((*decisions, *state_changes), key=lambda line: line.at_ms)
    n_left_out = sum(int(line.fields.get("n_left_out", 0)) for line in timeline_lines)
    cause = _cause(decisions)
    if cause == CAUSES["servers_dead"]:
        isolation = _isolation_line(lines, decisions[-1])
        if isolation is not None:
            if isolation not in timeline_lines:
                timeline_lines = sorted(
                    (*timeline_lines, isolation), key=lambda line: line.at_ms
                )
            cause = ISOLATED
    if cause is None and flow is not None:
        failure = _later_failure_line(lines, decisions, servers)
        if failure is not None:
            timeline_lines.append(failure)
            cause = FAILURE_CAUSES[failure.message]
    return Timeline(tuple(timeline_lines), cause, n_left_out)


def _is_about(line: LogLine, flow: str | None, server: str | None) -> bool:
    if flow is not None:
        return flow in str(line.fields.get("flow", ""))
    return server in (line.fields.get("server"), line.fields.get("subject"))


def _explains(line: LogLine, decision: LogLine, servers: set[str]) -> bool:
    if line.instance != decision.instance:
        return False
    if not 0 <= decision.at_ms - line.at_ms <= STATE_WINDOW_MS:
        return False
    if line.fields.get("class") == "life":
        return True
    return str(line.fields.get("subject")) in servers


def _cause(decisions: Sequence[LogLine]) -> str | None:
    for line in reversed(decisions):
        cause = CAUSES.get(str(line.fields.get("reason")))
        if cause is not None:
            return cause
    return None


def _isolation_line(lines: Sequence[LogLine], decision: LogLine) -> LogLine | None:
    """Return the line with which the deciding instance reported its isolation."""
    found = None
    until_ms = decision.at_ms + ISOLATION_DETECTION_MS
    for line in lines:
        if line.instance != decision.instance or line.at_ms > until_ms:
            continue
        if line.message == "instance_stranded":
            found = line
        elif line.message in ("instance_rejoined", "started"):
            found = found if line.at_ms > decision.at_ms else None
    return found


def _later_failure_line(
    lines: Sequence[LogLine], decisions: Sequence[LogLine], servers: set[str]
) -> LogLine | None:
    """Return the first later line that indicates a failed instance or server.

    An instance that crashes logs no stop; its next start indicates the crash.
    """
    if not decisions:
        return None
    last = decisions[-1]
    has_stopped = False
    for line in lines:
        if line.at_ms <= last.at_ms or line.message not in (*FAILURE_CAUSES, "stopped"):
            continue
        if line.message == "started" and line.instance == last.instance:
            if not has_stopped:
                return line
        elif line.message == "stopped":
            has_stopped = has_stopped or line.instance == last.instance
        elif str(line.fields.get("subject")) in servers:
            return line
    return None


def render_timeline(timeline: Timeline) -> str:
    """Format a timeline as text, one decision per line."""
    if not timeline.lines:
        return "no line names this flow or server; was the log of its instance given?"
    begin_ms = timeline.lines[0].at_ms
    rows = [_row(line, begin_ms) for line in timeline.lines]
    if timeline.n_left_out:
        rows.append(f"{timeline.n_left_out} lines were left out by the log rate limit")
    rows.append(f"cause: {timeline.cause or 'no logged refusal or reset'}")
    return "\n".join(rows)


def _row(line: LogLine, begin_ms: float) -> str:
    inputs = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _COMMON_FIELDS and name != "data_centre"
    ]
    reason = str(line.fields.get("reason", ""))
    head = f"{line.at_ms - begin_ms:+9.0f} ms  {line.instance}  {line.message}"
    return " ".join(part for part in (head, reason, *inputs) if part)
