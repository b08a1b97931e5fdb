"""Randomized soak test: injects faults into real processes, checks invariants."""

import asyncio
import random
import shutil
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from .soak_checks import find_violations
from .soak_faults import Fault, FaultInjector, draw_fault, inject
from .soak_history import Answered
from .soak_system import SoakSystem
from .waiting import wait_until

__all__ = ["SoakResult", "run_soak"]

FAULTS_S = 10.0
GAP_MAX_S = 0.8
# `soak_checks.CONTACT_MS`, then 3 s in which every request must be served.
RECOVERY_S = 4.0 + 3.0
READY_AGAIN_MS = 8_000


class SoakResult(msgspec.Struct):
    """The result of one seed.

    Parameters
    ----------
    seed : int
        The seed.
    faults : list of Fault
        Injected faults.
    violations : list of str
        Violated invariants and other failures.
    n_answers : int
        Number of answered requests.
    """

    seed: int
    faults: list[Fault]
    violations: list[str]
    n_answers: int


async def run_soak(
    seed: int,
    n_instances: int = 4,
    faults_s: float = FAULTS_S,
    failure_dir: Path | None = None,
) -> SoakResult:
    """Inject the faults of a seed and return the violations found.

    Parameters
    ----------
    seed : int
        Seed of the faults and their times.
    n_instances : int
        Number of entry processes.
    faults_s : float
        Time during which faults are started.
    failure_dir : Path or None
        Directory for the logs and the history of a seed with violations.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    async with SoakSystem(seed, n_instances) as system:
        injector = FaultInjector(system)
        system.start_callers()
        running = []
        until_ms = system.clock.now_ms() + faults_s * 1000
        while system.clock.now_ms() < until_ms:
            await asyncio.sleep(rng.uniform(0, GAP_MAX_S))
            fault = draw_fault(rng, n_instances, len(system.servers))
            faults.append(fault)
            running.append(asyncio.create_task(inject(fault, injector)))
        violations = [
            f"fault: {error!r}"
            for error in await asyncio.gather(*running, return_exceptions=True)
            if error is not None
        ]
        violations += await _check_after_recovery(system)
        violations += _logged_errors(system)
        if violations and failure_dir is not None:
            _save_failure(system, failure_dir / f"seed-{seed}", faults, violations)
        n_answers = len(system.history.of_type(Answered))
    return SoakResult(seed, faults, violations, n_answers)


async def _check_after_recovery(system: SoakSystem) -> list[str]:
    """Wait until the system has recovered and return the violations found."""
    try:
        await wait_until("all instances are ready", system.all_ready, READY_AGAIN_MS)
        await asyncio.sleep(RECOVERY_S)
    except TimeoutError as error:
        return [f"recovery: {error}"]
    finally:
        await system.stop_callers()
    return find_violations(system.history) + _misdirected(system)


def _misdirected(system: SoakSystem) -> list[str]:
    return [
        f"misdirected: {server.name} received {server.n_misdirected} packets"
        " addressed to other servers"
        for server in system.servers
        if server.n_misdirected
    ]


def _logged_errors(system: SoakSystem) -> list[str]:
    return [
        f"process: {entry.name} logged {line['message']}"
        for entry in system.instances
        for line in entry.log_records()
        if line.get("level") in ("ERROR", "CRITICAL")
    ]


def _save_failure(
    system: SoakSystem, directory: Path, faults: list, violations: list[str]
) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for entry in system.instances:
        shutil.copy(entry.log, directory)
    lines = [*violations, *map(repr, faults), *map(repr, system.history.events)]
    (directory / "history.txt").write_text("\n".join(lines) + "\n")


def main(
    first: Annotated[
        int, typer.Option(help="First seed; 0 takes the current time.")
    ] = 0,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 10,
    instances: Annotated[int, typer.Option(help="Number of entry processes.")] = 4,
    keep: Annotated[Path, typer.Option(help="Directory for failed seeds.")] = Path(
        "soak"
    ),
) -> None:
    """Run seeds one after the other; exit with 1 if any of them failed."""
    first = first or int(time.time())
    n_failed = 0
    for seed in range(first, first + seeds):
        result = asyncio.run(run_soak(seed, instances, failure_dir=keep))
        verdict = "passed" if not result.violations else "FAILED"
        print(f"seed {seed}: {verdict}, {len(result.faults)} faults,", end=" ")
        print(f"{result.n_answers} answers")
        for line in result.violations[:5]:
            print(f"  {line}")
        n_failed += bool(result.violations)
    print(f"{seeds - n_failed} passed, {n_failed} failed")
    raise typer.Exit(1 if n_failed else 0)


if __name__ == "__main__":
    typer.run(main)
