"""Compare fan-outs and repeat counts for the dissemination of a new plan.

Run with ``python -m lab.plan_fan_out``; prints one JSON object per line.
"""

import dataclasses
import statistics
import sys

import msgspec

from sapphirerail_core.plan import EMPTY_PLAN, Plan
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sync import SyncConfig
from sapphirerail_standins.plan_network import NetworkConfig, PlanNetwork

N_INSTANCES = 1000
N_DATA_CENTRES = 7
N_SEEDS = 3
SETTLE_MS = 5000
FAN_OUTS_AND_REPEATS = ((0, 0), (1, 0), (2, 0), (2, 2), (4, 0), (4, 2), (8, 2))


def _apply_line(plan: Plan, line: str) -> Plan:
    sheet = parse_sheet(f"kind,name,state\n{line}\n".encode())
    return apply_lines(plan, sheet.lines, plan.revision, 0).plan


def _run_trial(sync: SyncConfig, seed: int) -> tuple[list[float], float]:
    members = {f"i{n}": f"d{n % N_DATA_CENTRES}" for n in range(N_INSTANCES)}
    network = PlanNetwork(members, seed, NetworkConfig(loss=0.05), sync)
    first = _apply_line(EMPTY_PLAN, "data_centre,d0,in")
    network.write(first)
    network.run(2 * SETTLE_MS)
    network.n_events.clear()
    second = _apply_line(first, "data_centre,d0,out")
    started_ms = network.now_ms
    network.write(second)
    network.run(2 * SETTLE_MS)
    times = [
        (network.applied_ms.get((name, second.revision), network.now_ms) - started_ms)
        / 1000
        for name in members
    ]
    return times, network.n_events["message"] / N_INSTANCES


def main() -> None:
    """Run the trials and print one line for each pair of fan-out and repeats."""
    for fan_out, n_repeats in FAN_OUTS_AND_REPEATS:
        sync = dataclasses.replace(SyncConfig(), fan_out=fan_out, n_repeats=n_repeats)
        trials = [_run_trial(sync, seed) for seed in range(N_SEEDS)]
        times = [time for trial in trials for time in trial[0]]
        line = {
            "fan_out": fan_out,
            "n_repeats": n_repeats,
            "p50_s": statistics.median(times),
            "p99_s": sorted(times)[len(times) * 99 // 100],
            "max_s": max(times),
            "messages": round(statistics.mean(trial[1] for trial in trials), 1),
        }
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")


if __name__ == "__main__":
    main()
