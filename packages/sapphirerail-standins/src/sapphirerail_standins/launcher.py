"""Starts the processes of one system and terminates all of them."""

import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from .child import Child
from .link import Protocol
from .link_control import LinkControl

__all__ = ["KEY", "Launcher"]

KEY = "the shared key of tests"


class Launcher:
    """Starts processes and keeps track of all that it started.

    Parameters
    ----------
    seed : int
        Seed of the fault-injecting link.
    """

    def __init__(self, seed: int) -> None:
        self.links: LinkControl | None = None
        self.children: list[Child] = []
        self._seed = seed

    async def start_link(self) -> None:
        """Start the fault-injecting link; addresses that are requested later use it."""
        flags = ["--seed", str(self._seed)]
        self.links = LinkControl(await self.start_module("link", "link", flags))

    async def start_module(
        self, name: str, module: str, flags: Sequence[str] = ()
    ) -> Child:
        """Start a stand-in and wait until it is ready."""
        command = [sys.executable, "-m", f"sapphirerail_standins.{module}", *flags]
        return await self._start(name, command)

    async def start_program(
        self, name: str, program: str, flags: Sequence[str]
    ) -> Child:
        """Start one of the installed programs and wait until it is ready."""
        return await self._start(name, [program_path(program), *flags])

    async def address(
        self,
        relay: str,
        child: Child,
        socket: str,
        protocol: Protocol = Protocol.UDP,
    ) -> str:
        """Return the address of a child's socket, or of the relay in front of it."""
        target = child.ready[socket]
        if self.links is None:
            return target
        return await self.links.open(relay, target, protocol)

    def pids(self) -> list[int]:
        """Return the ids of the running processes."""
        return [child.pid for child in self.children if child.is_running]

    async def end_all(self) -> None:
        """Kill every process that still runs."""
        running = [child for child in self.children if child.is_running]
        await asyncio.gather(*(child.kill() for child in running))

    async def _start(self, name: str, command: list[str]) -> Child:
        child = await Child.start(name, command, environment())
        self.children.append(child)
        return child


def environment() -> dict[str, str]:
    """Return the environment of every process of a system."""
    return os.environ | {"SAPPHIRERAIL_KEY": KEY}


def program_path(program: str) -> str:
    """Return the path of a program that is installed in this environment."""
    return str(Path(sys.executable).parent / program)
