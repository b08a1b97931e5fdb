"""Compare what `explain` says of failed requests with the bench's own trace.

Run with ``python -m lab.explain_failures [--n 20] [--seed 1] DAY...``; each DAY is what
``fleetbench run ... --log all --report`` printed, with the report beside it as .json.
The bench shows the first request of each kind of failure of a day; of those of all days
some are drawn by the seed. The trace names the instance, the server and the times; the
flow is then found in the logs, as a caller's log would name it. That an instance or a
data centre was lost or taken out at that time is checked against the bench's report.
"""

import random
import re
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from sapphirerail_core.log_timeline import LogLine, build_timeline, read_log

# Whoever explains a failure cuts the logs soon after it; a death takes about a second
# to be found.
AFTER_S = 2.0
# Between the time a caller sends and an instance decides: way and load, in seconds.
NEAR_S = 0.05
_HEAD = re.compile(r"^not served, last try '(.*)': (\d+); the first:$")
_EVENT = re.compile(r"^\s+([\d.]+) s\s+(.*)$")
_SENT = re.compile(r"request (\w+) \(\S+, ([\d.]+)/(\d+)/\) sent to (\S+)")
_CLIENT = re.compile(r"^client-(\d+)-(\d+)$")
_SERVER = re.compile(r"reaches server (\S+)")
_LOG = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*)$")


# Kinds of trouble in which servers, or the way to them, are lost.
_SERVER_LOSSES = frozenset(
    {"zone_cut", "bridge_cut", "zone_loss", "replace_with_reuse", "scale_in", "release"}
)


class Failure(msgspec.Struct):
    """A failed request as the bench traces it.

    Parameters
    ----------
    request : str
        Its id.
    ending : str
        How its last try ended.
    at_s : float
        When its connection was opened, in seconds of the day.
    address : str
        ``address:port`` that it was sent to.
    caller : str or None
        Address of the caller, if the trace names it.
    instance, server : str or None
        Who steered it, and which server it reached.
    events : list of str
        The bench's lines.
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
    """What the trace and the logs say of a failure."""

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
    """Return the address of a bench's client, as its own log would show it."""
    match = _CLIENT.match(name)
    if match is None:
        return None
    # Seen in the logs: client-3-10 sends from 100.67.0.15.
    return f"100.{64 + int(match[1])}.0.{5 + int(match[2])}"


def _logged(text: str) -> list[tuple[float, str]]:
    """Return the log lines with the bench's time of each."""
    matches = (_LOG.match(line) for line in text.splitlines())
    return [(float(m[1]), m[3]) for m in matches if m is not None]


def find_flow(failure: Failure, logged: list[tuple[float, str]]) -> str | None:
    """Return the name of the flow that carried a request.

    A request on a connection of its own begins with an opening; one on an open
    connection is found by the next line of its caller's flows, or by the last opening.
    """
    before: str | None = None
    for at_s, raw in logged:
        if at_s > _end_s(failure) + NEAR_S:
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
        before = flow
    return before


def story_lines(failure: Failure, logged: list[tuple[float, str]]) -> list[LogLine]:
    """Return the log lines up to soon after a failure."""
    return read_log(raw for at_s, raw in logged if at_s <= _end_s(failure) + AFTER_S)


def _end_s(failure: Failure) -> float:
    """Return when the caller knew that it had failed."""
    known = [e for e in failure.events if "client" in e or "connection is" in e]
    end = _EVENT.match("  " + (known or failure.events)[-1])
    assert end is not None, failure
    return float(end[1])


def judge(path: Path, failure: Failure, logged: list[tuple[float, str]]) -> Verdict:
    """Return whether the logs name the cause that the trace shows."""
    report = msgspec.json.decode(path.with_suffix(".json").read_bytes())
    traced = _traced(failure)
    flow = find_flow(failure, logged)
    told, instance = "flow not found", None
    if flow is not None:
        story = build_timeline(story_lines(failure, logged), flow=flow)
        told = story.cause or "no cause named"
        instance = story.lines[-1].instance if story.lines else None
    agrees = _agree(traced, told) or (
        traced == "no answer" and _was_lost(failure, told, instance, report)
    )
    return Verdict(path.stem, failure.request, traced, told, agrees)


def _traced(failure: Failure) -> str:
    if failure.ending == "503":
        return "refused by the server"
    if "connection is reset" in failure.events[-1]:
        return "reset by an instance"
    return "no answer"


def _was_lost(
    failure: Failure, told: str, instance: str | None, report: dict[str, Any]
) -> bool:
    """Return whether the report confirms the loss that the logs name."""
    begin_s, end_s = failure.at_s, _end_s(failure)
    if "its instance was lost" in told:
        out = report["touch"]["out"].get(instance, "")
        spans = [span.split(" to ") for span in out.split(", ") if span]
        return any(float(a) <= end_s and float(b) >= begin_s for a, b in spans)
    kinds = {
        event["kind"].split()[0]
        for event in report["events"]
        if event["at_s"] <= end_s and event["to_s"] >= begin_s
    }
    if told.startswith("operators"):
        return "evacuate" in kinds
    return "server" in told and bool(kinds & _SERVER_LOSSES)


def _agree(traced: str, told: str) -> bool:
    if traced == "reset by an instance":
        return told.startswith(("probes show", "no server", "only cold", "the conf"))
    if traced == "refused by the server":
        return told == "no cause named"
    return False


def main(
    days: list[Path],
    n: Annotated[int, typer.Option(help="Failures to draw.")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the draw.")] = 1,
) -> None:
    """Draw failures, compare, and print one JSON object each and the sum."""
    found = []
    for path in days:
        text = path.read_text(encoding="utf-8", errors="replace")
        found += [(path, failure) for failure in read_failures(text)]
    drawn = random.Random(seed).sample(found, min(n, len(found)))
    verdicts = []
    for path, failure in drawn:
        logged = _logged(path.read_text(encoding="utf-8", errors="replace"))
        verdicts.append(judge(path, failure, logged))
    for verdict in verdicts:
        print(msgspec.json.encode(verdict).decode())
    n_right = sum(verdict.agrees for verdict in verdicts)
    print(f"{n_right} of {len(verdicts)} drawn of {len(found)} failures")


if __name__ == "__main__":
    typer.run(main)
