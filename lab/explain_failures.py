"""Compare the causes that `explain` gives for failed requests with the bench's trace.

Run with ``python -m lab.explain_failures [--n 20] [--seed 1] DAY...``; each DAY is the
output of ``fleetbench run ... --log all --report``, with the report beside it as .json.
The bench traces the first request of each kind of failure of a day; a random sample of
those of all days is compared. The trace names the instance, the server and the times;
the flow is looked up in the logs, as a caller's log would name it. A cause that names a
failed instance or an evacuated data centre is checked against the bench's report.
"""

import random
import re
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from sapphirerail_core.log_timeline import LogLine, build_timeline, read_log

# Logs are read until shortly after a failure, as an operator would cut them; detecting
# a failed server takes about a second.
AFTER_S = 2.0
# Longest time between a caller's transmission and the instance's decision (network
# and load).
MATCH_TOLERANCE_S = 0.05
_HEAD = re.compile(r"^not served, last try '(.*)': (\d+); the first:$")
_EVENT = re.compile(r"^\s+([\d.]+) s\s+(.*)$")
_SENT = re.compile(r"request (\w+) \(\S+, ([\d.]+)/(\d+)/\) sent to (\S+)")
_CLIENT = re.compile(r"^client-(\d+)-(\d+)$")
_SERVER = re.compile(r"reaches server (\S+)")
_LOG = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*)$")


# Kinds of bench events in which servers fail or become unreachable.
_SERVER_LOSSES = frozenset(
    {"zone_cut", "bridge_cut", "zone_loss", "replace_with_reuse", "scale_in", "release"}
)


class Failure(msgspec.Struct):
    """A failed request in the bench's trace.

    Parameters
    ----------
    request : str
        Id of the request.
    ending : str
        How its last attempt ended.
    at_s : float
        Time at which its connection was opened, in seconds of the day.
    address : str
        ``address:port`` to which it was sent.
    caller : str or None
        Address of the caller, if the trace names it.
    instance, server : str or None
        Instance that steered it, and server that it reached, if the trace names them.
    events : list of str
        Lines of the trace.
    """

    request: str
    ending: str
    at_s: float
    address: str
    caller: str | None
    instance: str | None
    server: str | None
    events: list[str]


class Verdict(msgspec.Struct):
    """Outcome of a failure by the trace, and its cause by the logs (`told`)."""

    day: str
    request: str
    traced: str
    told: str
    agrees: bool


def read_failures(text: str) -> list[Failure]:
    """Return the traced failures of a day's output."""
    found = []
    ending, events = "", []
    for line in [*text.splitlines(), ""]:
        head = _HEAD.match(line)
        event = _EVENT.match(line)
        if ending and event is None:
            found.append(_failure(ending, events))
            ending = ""
        if head is not None:
            ending, events = head[1], []
        elif ending and event is not None:
            events.append(line.strip())
    return found


def _failure(ending: str, events: list[str]) -> Failure:
    sent = _SENT.search(events[0])
    at = _EVENT.match("  " + events[0])
    assert sent is not None and at is not None, events
    server = _SERVER.search(" ".join(events))
    instance = sent[4] if sent[4].startswith("front-") else None
    return Failure(
        request=sent[1],
        ending=ending,
        at_s=float(at[1]),
        address=f"{sent[2]}:{sent[3]}",
        caller=_caller(sent[4]),
        instance=instance,
        server=server[1] if server is not None else None,
        events=events,
    )


def _caller(name: str) -> str | None:
    """Return the address of a bench client, as its log would show it."""
    match = _CLIENT.match(name)
    if match is None:
        return None
    # Observed in the logs: client-3-10 sends from 100.67.0.15.
    return f"100.{64 + int(match[1])}.0.{5 + int(match[2])}"


def _parse_log(text: str) -> list[tuple[float, str]]:
    """Return the log lines, each with its bench time in seconds."""
    matches = (_LOG.match(line) for line in text.splitlines())
    return [(float(m[1]), m[3]) for m in matches if m is not None]


def find_flow(failure: Failure, timed_lines: list[tuple[float, str]]) -> str | None:
    """Return the name of the flow that carried a request.

    A request on a new connection begins with an opening. A request on an established
    connection is matched to the next line of its caller's flows, else to the last
    opening.
    """
    previous_flow: str | None = None
    for at_s, raw in timed_lines:
        if at_s > _end_s(failure) + MATCH_TOLERANCE_S:
            break
        if '"flow"' not in raw:
            continue
        fields = msgspec.json.decode(raw)
        flow = str(fields["flow"])
        if not flow.endswith(">" + failure.address):
            continue
        if failure.caller is not None and not flow.startswith(failure.caller + ":"):
            continue
        if failure.instance not in (None, fields["instance"]):
            continue
        if failure.server not in (None, fields.get("server")):
            continue
        if at_s >= failure.at_s - 0.005:
            return flow
        previous_flow = flow
    return previous_flow


def lines_until_failure(
    failure: Failure, timed_lines: list[tuple[float, str]]
) -> list[LogLine]:
    """Return the log lines until `AFTER_S` after a failure."""
    return read_log(
        raw for at_s, raw in timed_lines if at_s <= _end_s(failure) + AFTER_S
    )


def _end_s(failure: Failure) -> float:
    """Return the time at which the caller learned of the failure."""
    known = [e for e in failure.events if "client" in e or "connection is" in e]
    end = _EVENT.match("  " + (known or failure.events)[-1])
    assert end is not None, failure
    return float(end[1])


def judge(
    path: Path, failure: Failure, timed_lines: list[tuple[float, str]]
) -> Verdict:
    """Return whether the cause in the logs matches the outcome in the trace."""
    report = msgspec.json.decode(path.with_suffix(".json").read_bytes())
    outcome = _trace_outcome(failure)
    flow = find_flow(failure, timed_lines)
    cause, instance = "flow not found", None
    if flow is not None:
        timeline = build_timeline(lines_until_failure(failure, timed_lines), flow=flow)
        cause = timeline.cause or "no cause named"
        instance = timeline.lines[-1].instance if timeline.lines else None
    agrees = _agree(outcome, cause) or (
        outcome == "no answer" and _is_confirmed(failure, cause, instance, report)
    )
    return Verdict(path.stem, failure.request, outcome, cause, agrees)


def _trace_outcome(failure: Failure) -> str:
    if failure.ending == "503":
        return "refused by the server"
    if "connection is reset" in failure.events[-1]:
        return "reset by an instance"
    return "no answer"


def _is_confirmed(
    failure: Failure, cause: str, instance: str | None, report: dict[str, Any]
) -> bool:
    """Return whether the bench's report confirms the failure that the logs name."""
    begin_s, end_s = failure.at_s, _end_s(failure)
    if "its instance was lost" in cause:
        out = report["touch"]["out"].get(instance, "")
        spans = [span.split(" to ") for span in out.split(", ") if span]
        return any(float(a) <= end_s and float(b) >= begin_s for a, b in spans)
    kinds = {
        event["kind"].split()[0]
        for event in report["events"]
        if event["at_s"] <= end_s and event["to_s"] >= begin_s
    }
    if cause.startswith("operators"):
        return "evacuate" in kinds
    return "server" in cause and bool(kinds & _SERVER_LOSSES)


def _agree(outcome: str, cause: str) -> bool:
    if outcome == "reset by an instance":
        return cause.startswith(("probes show", "no server", "only cold", "the conf"))
    if outcome == "refused by the server":
        return cause == "no cause named"
    return False


def main(
    days: list[Path],
    n: Annotated[int, typer.Option(help="Number of failures to sample.")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the sample.")] = 1,
) -> None:
    """Compare a sample of failures; print a JSON object for each, and the total."""
    found = []
    for path in days:
        text = path.read_text(encoding="utf-8", errors="replace")
        found += [(path, failure) for failure in read_failures(text)]
    drawn = random.Random(seed).sample(found, min(n, len(found)))
    verdicts = []
    for path, failure in drawn:
        timed_lines = _parse_log(path.read_text(encoding="utf-8", errors="replace"))
        verdicts.append(judge(path, failure, timed_lines))
    for verdict in verdicts:
        print(msgspec.json.encode(verdict).decode())
    n_agreeing = sum(verdict.agrees for verdict in verdicts)
    print(f"{n_agreeing} of {len(verdicts)} drawn of {len(found)} failures")


if __name__ == "__main__":
    typer.run(main)
